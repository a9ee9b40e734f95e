"""Reads from the files in ``review/`` what they use of this project."""

import ast
from collections.abc import Iterator
import pathlib

ROOT = pathlib.Path(__file__).parents[2]


class File:
    """A file of ``review/``.

    Args:
        path: Path of the file.

    Attributes:
        path: As above.
        modules: Modules of ``support`` that it imports, by their name there.
    """

    def __init__(self, path):
        self.path = path
        self._nodes = list(ast.walk(ast.parse(path.read_text("utf-8"))))
        self.modules = {
            alias.asname or alias.name: f"{node.module}.{alias.name}"
            for node in self._nodes
            if isinstance(node, ast.ImportFrom)
            and (node.module or "").startswith("support")
            for alias in node.names
        }

    def module_names(self):
        """Return pairs of an imported module and a name that is used of it."""
        return {
            (self.modules[node.value.id], node.attr)
            for node in self._nodes
            if isinstance(node, ast.Attribute)
            and isinstance(node.value, ast.Name)
            and node.value.id in self.modules
        }

    def private_names(self):
        """Return the private attributes that the file does not define."""
        used = {n.attr for n in self._nodes if isinstance(n, ast.Attribute)}
        defined = {
            node.name
            for node in self._nodes
            if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)
        }
        return {
            name
            for name in used - defined
            if name.startswith("_") and not name.startswith("__")
        }

    def strings(self):
        """Return all strings, with the parts of formatted ones."""
        return {
            node.value
            for node in self._nodes
            if isinstance(node, ast.Constant) and isinstance(node.value, str)
        }


def files() -> Iterator[File]:
    """Yield all Python files of ``review/``."""
    for path in sorted((ROOT / "review").rglob("*.py")):
        yield File(path)
