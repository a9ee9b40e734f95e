"""Tests of the settings of the product in the platform's settings file."""

import testtools

from wagtailtiller.platform import settings

_SETTINGS = {
    "node_name": "a-1",
    "ip": "10.0.0.1",
    "zone": "a",
    "listen": {"front": "10.0.0.1:80", "ready": "10.0.0.1:81"},
    "port_range": [7000, 7010],
    "bounds": {},
    "platform": {"address": "10.0.0.2:2379"},
}


class OverloadControlTest(testtools.TestCase):
    def decode(self, **fields):
        return settings.decode({**_SETTINGS, **fields}).ok

    def test_jobs_are_served_as_before_where_nothing_asks_for_a_choice(self):
        self.assertFalse(self.decode().overload_control)
        for contract in ("other", "pressure"):
            decoded = self.decode(contracts=[contract])
            self.assertFalse(decoded.overload_control)

    def test_the_setting_switches_the_control_of_overload_on(self):
        self.assertTrue(self.decode(overload_control=True).overload_control)

    def test_a_switch_of_a_wrong_type_is_an_error_that_names_it(self):
        result = settings.decode({**_SETTINGS, "overload_control": "yes"})
        self.assertIn("overload_control", str(result.error))


class ClientLimitsTest(testtools.TestCase):
    def decode(self, **fields):
        return settings.decode({**_SETTINGS, **fields})

    def test_limits_follow_from_those_of_the_process(self):
        limits = {"memory_mb": 300, "max_fds": 4_100}
        decoded = self.decode(limits=limits).ok
        self.assertEqual(88_000_000, decoded.client_limits.max_held_bytes)
        self.assertEqual(2_925, decoded.client_limits.max_connections)
        self.assertEqual(66_000_000, decoded.max_job_bytes)

    def test_shares_are_settings(self):
        shares = {"client_memory_share": 0.2, "job_memory_share": 0.5}
        limits = {"memory_mb": 300, "max_fds": 4_100}
        decoded = self.decode(
            limits=limits, client_descriptor_share=0.5, **shares
        ).ok
        self.assertEqual(44_000_000, decoded.client_limits.max_held_bytes)
        self.assertEqual(1_950, decoded.client_limits.max_connections)
        self.assertEqual(110_000_000, decoded.max_job_bytes)

    def test_small_machine_still_has_room_for_clients(self):
        decoded = self.decode(limits={"memory_mb": 60, "max_fds": 100}).ok
        self.assertEqual(6_000_000, decoded.client_limits.max_held_bytes)
        self.assertEqual(1, decoded.client_limits.max_connections)

    def test_value_out_of_range_is_an_error_that_names_it(self):
        for name in (
            "client_memory_share",
            "client_descriptor_share",
            "job_memory_share",
        ):
            for value in (0, 1.5, "much"):
                error = self.decode(**{name: value}).error
                self.assertIn(name, str(error))
        error = self.decode(limits={"memory_mb": 0}).error
        self.assertIn("memory_mb", str(error))
