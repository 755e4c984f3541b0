#!/usr/bin/env python3
"""Tests of scripts/lintcoroutines.py. Run: python3 scripts/lintcoroutinestest.py"""
import unittest

import lintcoroutines


class LintCoroutines(unittest.TestCase):
    def assert_finds(self, lines, text):
        self.assertEqual(lines, lintcoroutines.check(text))

    def test_finds_a_temporary_argument(self):
        self.assert_finds([2], 'Task<bool> run()\n{ co_return co_await refuse(Error { 1, "a" }); }')
        self.assert_finds([1], 'Task<bool> run() { const bool done = co_await refuse(request, Error { 1, "a" }); }')

    def test_finds_a_temporary_within_another_call(self):
        self.assert_finds([1], 'Task<void> run() { const auto r = co_await pull(peer, encode(Pull { applied() })); }')

    def test_finds_a_temporary_without_a_type(self):
        self.assert_finds([1], 'Task<void> run() { co_await refuse({ 1, "a" }); }')
        self.assert_finds([1], 'Task<void> run() { co_await refuse(first, {}); }')

    def test_finds_a_template_and_a_qualified_name(self):
        self.assert_finds([1], 'Task<void> run() { co_await use(std::vector<Error> { a }); }')
        self.assert_finds([1], 'Task<void> run() { co_await use(net::Error { a }); }')

    def test_finds_a_temporary_beside_the_awaited_call(self):
        self.assert_finds([1], 'Task<void> run() { use(Error { 1, "a" }, co_await next()); }')
        self.assert_finds([1], 'Task<bool> run() { co_return Error { 1, "a" } == co_await next(); }')

    def test_finds_a_temporary_in_a_condition(self):
        self.assert_finds([1], 'Task<void> run() { if (!co_await connect({ address, port })) { stop(); } }')
        self.assert_finds([1], 'Task<void> run() { while (co_await refuse(Error { 1, "a" })) { stop(); } }')

    def test_finds_a_temporary_over_several_lines(self):
        self.assert_finds([4], 'Task<void> run()\n{\n    co_await refuse(request,\n        Error { 1, "a" });\n}')

    def test_finds_a_temporary_within_a_coroutine_lambda(self):
        self.assert_finds([2], 'spawn(context, [&]() -> Task<void> {\n co_await refuse(Error { 1, "a" });\n});')
        self.assert_finds([1], 'spawn([this] { return run(Error { 1 }); }, co_await next(Error { 2 }));')

    def test_accepts_named_variables(self):
        self.assert_finds([], 'Task<void> run() { const Error error { 1, "a" }; co_await refuse(error); }')
        self.assert_finds([], 'Task<void> run() { const Error error = { 1, "a" }; co_await refuse(error); }')
        self.assert_finds([], 'Task<void> run() { const Holder held { co_await next() }; }')

    def test_accepts_a_temporary_without_co_await(self):
        self.assert_finds([], 'Task<Error> run() { co_await next(); co_return Error { 1, "a" }; }')

    def test_accepts_blocks_and_lambdas(self):
        self.assert_finds([], 'Task<void> run() { if (co_await next()) { stop(); } else { go(); } }')
        self.assert_finds([], 'Task<void> run() { co_await spawn([this] { stop(); }, [&](int a) { go(a); }); }')
        self.assert_finds([], 'Task<void> run() { co_await spawn([&](int a) -> bool { return go(a); }); }')

    def test_ignores_literals_and_comments(self):
        self.assert_finds([], 'Task<void> run() { co_await set(R"({ "a": [1] })"); co_await set("f({})"); }')
        self.assert_finds([], "Task<void> run() { co_await set('{'); co_await set(1'000); // f({})\n }")


if __name__ == '__main__':
    unittest.main()
