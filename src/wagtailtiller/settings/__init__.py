"""The operators' settings: a validated tree with inherited values."""

from wagtailtiller.settings.catalogue import Caller
from wagtailtiller.settings.catalogue import Catalogue
from wagtailtiller.settings.catalogue import explain
from wagtailtiller.settings.catalogue import Explanation
from wagtailtiller.settings.catalogue import PoolSettings
from wagtailtiller.settings.catalogue import QueueSettings
from wagtailtiller.settings.catalogue import resolve
from wagtailtiller.settings.catalogue import VmSettings
from wagtailtiller.settings.changes import apply_merge_patch
from wagtailtiller.settings.changes import Change
from wagtailtiller.settings.changes import create_merge_patch
from wagtailtiller.settings.schema import Document
from wagtailtiller.settings.validation import check_document
from wagtailtiller.settings.validation import read_document

__all__ = [
    "Caller",
    "Catalogue",
    "Change",
    "Document",
    "Explanation",
    "PoolSettings",
    "QueueSettings",
    "VmSettings",
    "check_document",
    "create_merge_patch",
    "explain",
    "apply_merge_patch",
    "read_document",
    "resolve",
]
