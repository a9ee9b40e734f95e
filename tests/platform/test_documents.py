"""Tests of decoding the platform's documents and settings."""

import json

import testtools

from wagtailtiller.platform import documents
from wagtailtiller.platform import settings
from wagtailtiller.platform import task_names
from wagtailtiller.ports import catalogue
from wagtailtiller.ports import vms

_WORKER = {
    "service": "proofs",
    "address": "10.0.0.1:80",
    "zone": "dc-1",
    "state": "ready",
    "capacity": {"cpu": 32_000, "mem_mb": 1_000, "gpu": 0},
    "labels": ["a", "r1-2"],
    "born": 12,
    "machine": "m-1",
    "seq": 4,
    "unheard_of": True,
}
_SETTINGS = {
    "node_name": "front-1",
    "ip": "10.0.0.1",
    "zone": "dc-1",
    "listen": {"front": "10.0.0.1:80", "ready": "10.0.0.1:81"},
    "port_range": [7000, 7010],
    "bounds": {"hold_max_ms": 6_000, "grace_s": 6, "move_s": 1.5},
    "platform": {"address": "10.9.0.1:1"},
    "new_field": {"x": 1},
}


class DocumentsTest(testtools.TestCase):
    def worker(self, **changes):
        value = json.dumps({**_WORKER, **changes}).encode()
        return documents.decode_worker("i-1", value)

    def test_worker_is_decoded_as_vm_report(self):
        report = self.worker()
        self.assertEqual("proofs", report.pool)
        self.assertEqual("m-1", report.machine)
        self.assertIs(vms.VmPhase.READY, report.phase)

    def test_malformed_worker_yields_none(self):
        self.assertIsNone(self.worker(state="asleep"))
        self.assertIsNone(self.worker(capacity="much"))
        self.assertIsNone(self.worker(labels=None))
        self.assertIsNone(documents.decode_worker("i-1", b"\xff\x00"))
        self.assertIsNone(documents.decode_worker("i-1", b"{}"))

    def test_deeply_nested_documents_yield_none(self):
        nested = b'{"x":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
        self.assertIsNone(documents.decode_worker("i-1", nested))
        self.assertIsNone(documents.decode_config(nested))
        self.assertIsNone(documents.decode_wave(nested))
        self.assertIn("nested", documents.decode_job(nested))

    def test_wave_of_endless_duration_yields_none(self):
        value = json.dumps(
            {"wave": 1, "machines": [], "duration_s": 1e308, "max_count": 1}
        )
        self.assertIsNone(documents.decode_wave(value.encode()))

    def config(self, tenants=None, limits=None, **route_changes):
        route = {"name": "q", "host": "h", "prefix": "/q/", "service": "proofs"}
        value = {
            "version": 3,
            "tenants": tenants,
            "routes": [{**route, **route_changes}],
            "services": [],
            "limits": limits or {"max_body_bytes": 1_000, "unheard_of": 0.5},
        }
        return documents.decode_config(json.dumps(value).encode())

    def test_unknown_limits_do_not_invalidate_the_configuration(self):
        self.assertEqual(1_000, self.config().limits.max_body_bytes)

    def test_limits_are_read_and_unusable_ones_have_their_defaults(self):
        limits = {
            "max_header_bytes": 2_000,
            "header_timeout_ms": "soon",
            "idle_timeout_ms": -1,
        }
        self.assertEqual(
            catalogue.RequestLimits(max_header_bytes=2_000),
            self.config(limits=limits).limits,
        )

    def test_tenants_are_decoded_as_organisations(self):
        tenant = {
            "name": "press",
            "api_keys": ["k1", "k2"],
            "priority": 1,
            "weight": 83,
            "max_count": {"cpu": 4_000, "mem_mb": 0, "gpu": 0},
        }
        decoded = self.config([tenant], public=True)
        press = decoded.organisations["press"]
        self.assertEqual(vms.Resources(4_000, 0, 0), press.limit)
        self.assertEqual(83, press.weight)
        self.assertTrue(decoded.queues[0].public)
        queue = self.config([tenant]).queues[0]
        self.assertEqual("press", decoded.authenticate(queue, "k2"))
        self.assertNotIn("k2", repr(decoded))

    def test_configuration_without_tenants_has_no_organisations(self):
        self.assertIsNone(self.config().organisations)
        self.assertEqual({}, self.config([]).organisations)

    def test_a_policy_with_malformed_times_still_applies(self):
        decoded = self.config(advice={"decide_ms": "soon"})
        self.assertEqual(0, decoded.queues[0].policy.decide_ms)
        decoded = self.config(advice={"decide_ms": 20, "valid_ms": 900})
        self.assertEqual(900, decoded.queues[0].policy.valid_ms)
        self.assertIsNone(self.config().queues[0].policy)

    def job_error(self, step=(), **fields):
        steps = [{"count": 1, **dict(step)}]
        body = json.dumps({"spec": "x", "steps": steps, **fields})
        return documents.decode_job(body.encode())

    def test_a_job_that_its_owner_could_not_hold_is_invalid(self):
        self.assertIn("steps", self.job_error({"count": 1_000_000_000}))
        self.assertIn("interval_ms", self.job_error(repeats=20_000))
        self.assertIn("repeats", self.job_error(repeats=1_000_000_000))

    def test_amounts_out_of_range_are_invalid(self):
        for name in ("cpu", "mem_mb", "gpu", "estimate_ms", "may_miss"):
            self.assertIn(name, self.job_error({name: -1}))
            self.assertIn(name, self.job_error({name: 1 << 70}))
        self.assertIn("start_at_ms", self.job_error(start_at_ms=1 << 60))

    def test_job_error_names_field(self):
        error = documents.decode_job(b'{"spec":"x","steps":[{"count":0}]}')
        self.assertIn("steps.0.count", error)
        error = documents.decode_job(b'{"spec":"x","steps":[{"count":"many"}]}')
        self.assertIn("count", error)
        error = documents.decode_job(
            b'{"spec":"x","steps":[{"count":1,"after":[0]}]}'
        )
        self.assertIn("steps.0.after", error)

    def test_omitted_step_fields_have_defaults(self):
        spec = documents.decode_job(b'{"spec":"x","steps":[{"count":2}]}')
        self.assertEqual(2, spec.steps[0].task_count)
        self.assertIsNone(spec.steps[0].max_unavailable)

    def test_task_names(self):
        task = task_names.parse_task("5c0e7a21d94b36f8.0.1.17")
        self.assertEqual(
            "5c0e7a21d94b36f8.0.1.17", task_names.format_task(task)
        )
        self.assertIsNone(task_names.parse_task("5c0e7a21d94b36f8.0.1"))
        self.assertIsNone(task_names.parse_task("5c0e7a21d94b36f8.0.1.x"))


class SettingsTest(testtools.TestCase):
    def test_unknown_fields_are_ignored(self):
        decoded = settings.decode(_SETTINGS).ok
        self.assertEqual("10.0.0.1:7000", decoded.peer_address)
        self.assertEqual(6_000, decoded.stop_within_ms)

    def test_capacity_counts_the_speed_of_the_core(self):
        limits = {"cpu_share": 0.5, "cores": 3, "link_mbps": 200}
        capacity = settings.decode({**_SETTINGS, "limits": limits}).ok.capacity
        self.assertEqual(1_500, capacity.cpu_millicores)
        self.assertEqual(200, capacity.link_mbps)

    def test_error_names_missing_field(self):
        incomplete = {k: v for k, v in _SETTINGS.items() if k != "platform"}
        self.assertIn("platform", str(settings.decode(incomplete).error))
