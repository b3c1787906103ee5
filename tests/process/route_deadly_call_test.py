"""A call that crashes each engine which runs it stops reaching engines, on each kind of route."""

import unittest

from support.deadly_request import DeadlyRequestCase


class DeadlyCallTest(DeadlyRequestCase):
    def test_a_deadly_idempotent_call(self):
        self.play("/read/7", "desk")

    def test_a_deadly_call_without_a_body(self):
        self.play("/read/7", "desk", method="GET")

    def test_a_deadly_call_on_a_route_without_a_key(self):
        self.play("/open/7", "desk", organisation=None)

    def test_a_deadly_call_that_may_not_be_repeated(self):
        self.play("/book/7", "desk")


if __name__ == "__main__":
    unittest.main()
