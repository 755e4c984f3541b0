// Measures the cost of health detection for a proxy: per request, per decision, and per service and tick.

#include <random>

#include <benchmark/benchmark.h>

#include "mulberryplank/policy/targetchooser.h"
#include "mulberryplank/policy/targethealth.h"

namespace
{

using namespace mulberryplank;

// The mean of 58,000 targets in 3,500 services.
constexpr std::size_t Targets = 17;
constexpr std::size_t Peers = 5;

PeerId peer(std::size_t index)
{
    return { VmName { "vm" + std::to_string(index) }, index + 1 };
}

// The health state of one service at a proxy, after some traffic and a report from each peer.
struct Setup {
    Setup()
        : health({ peer(0), Detection::Fast, 0.5, 1, 4 }, 1)
    {
        std::vector<PeerId> peers;
        for (std::size_t index = 1; index <= Peers; ++index) {
            peers.push_back(peer(index));
        }
        for (std::size_t target = 0; target < Targets; ++target) {
            health.addTarget(TargetName { "target-" + std::to_string(target) }, FailureDomain {}, now);
        }
        health.setPeers(peers, now);
        for (int step = 0; step < 2'000; ++step) {
            health.observe(attempt(step), now);
        }
        health.tick(now);
        for (const PeerId &from : peers) {
            EvidenceReport report = health.report(now);
            report.sequence = 1;
            health.merge(from, report, now);
        }
    }

    static Attempt attempt(int step)
    {
        const auto target = static_cast<TargetIndex>(static_cast<std::size_t>(step) % Targets);
        return { target, static_cast<std::uint16_t>(step % 5), AttemptResult::Success, Millis { 5 + step % 90 } };
    }

    Instant now = Instant {} + Seconds { 1 };
    ServiceHealth health;
};

void observe(benchmark::State &state)
{
    Setup setup;
    int step = 0;
    for (auto _ : state) {
        setup.health.observe(Setup::attempt(++step), setup.now);
    }
}

void tick(benchmark::State &state)
{
    Setup setup;
    int step = 0;
    for (auto _ : state) {
        setup.now += Millis { 100 };
        setup.health.observe(Setup::attempt(++step), setup.now);
        setup.health.tick(setup.now);
    }
}

void report(benchmark::State &state)
{
    Setup setup;
    for (auto _ : state) {
        benchmark::DoNotOptimize(setup.health.report(setup.now));
    }
}

void chooseTarget(benchmark::State &state)
{
    std::vector<TargetView> views(Targets);
    for (TargetIndex index = 0; index < Targets; ++index) {
        views[index].index = index;
        views[index].inFlight = index % 3;
        views[index].expectedLatency = Millis { 20 + index };
    }
    std::mt19937_64 random(1);
    for (auto _ : state) {
        benchmark::DoNotOptimize(choose(views, {}, random));
    }
}

BENCHMARK(observe);
BENCHMARK(tick);
BENCHMARK(report);
BENCHMARK(chooseTarget);

} // namespace

BENCHMARK_MAIN();
