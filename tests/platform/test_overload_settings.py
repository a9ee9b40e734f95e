"""Tests of the switch for the control of overload."""

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
