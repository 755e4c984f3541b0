// Measures the health detection of targets on a virtual clock. For every kind of fault, detection setting and baseline
// detector it reports the time until a faulty target is out of service at every proxy, and the requests harmed
// until then. For a day of healthy traffic of every service it reports the healthy targets that were ejected.
//
// bench-health [--quick] [--faults N] [--json FILE], or bench-health --search N
// --faults N runs only the faults, N runs of each.

#include <atomic>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <string>
#include <thread>

#include <boost/json.hpp>

#include "healthmodel/healthsimulation.h"
#include "healthmodel/search.h"
#include "healthmodel/summary.h"

using namespace healthmodel;

namespace
{

constexpr unsigned Threads = 3;
constexpr std::uint64_t FirstSeed = 1'000;

struct Plan {
    int runsPerSetting = 60; // per kind of fault and setting
    int runsPerBaseline = 20;
    double healthyHours = 24; // per service
    int healthyRuns = 3; // runs that share these hours, so that they run in parallel
};

struct Run {
    HealthSimulationSettings settings;
    HealthSimulationResult result;
};

const ServiceModel &pressdesk()
{
    static const ServiceModel Model = servicesOfBothRegions().at(1);
    return Model;
}

std::vector<Run> plannedRuns(const Plan &plan)
{
    std::vector<Run> runs;
    for (const ServiceModel &service : servicesOfBothRegions()) {
        for (int part = 0; part < plan.healthyRuns; ++part) {
            Run run;
            run.settings.service = service;
            // The most cautious setting ejects least, so nearly all excursions of suspicion reach their full height.
            run.settings.detector = FaultDetectorKind::Cautious;
            run.settings.shadows = { FaultDetectorKind::ConsecutiveErrors, FaultDetectorKind::LatencyOutlier };
            run.settings.seed = FirstSeed + static_cast<std::uint64_t>(part);
            run.settings.length = fromSeconds(plan.healthyHours * 3'600 / plan.healthyRuns);
            run.settings.firstDeploy = Seconds { 1'000 };
            runs.push_back(std::move(run));
        }
    }
    for (std::size_t kind = 1; kind < FaultNames.size(); ++kind) {
        for (std::size_t detector = 0; detector < FaultDetectorNames.size(); ++detector) {
            const int count = detector <= static_cast<std::size_t>(FaultDetectorKind::Cautious) ? plan.runsPerSetting
                                                                                                : plan.runsPerBaseline;
            for (int index = 0; index < count; ++index) {
                Run run;
                run.settings.service = pressdesk();
                run.settings.fault = faultOf(static_cast<FaultKind>(kind), pressdesk().targets);
                run.settings.detector = static_cast<FaultDetectorKind>(detector);
                run.settings.seed = FirstSeed + static_cast<std::uint64_t>(index);
                if (run.settings.fault.kind == FaultKind::HalfInDeploy) {
                    run.settings.firstDeploy = run.settings.fault.onset;
                }
                runs.push_back(std::move(run));
            }
        }
    }
    return runs;
}

void runAll(std::vector<Run> &runs)
{
    std::atomic<std::size_t> next { 0 };
    std::vector<std::thread> threads;
    for (unsigned index = 0; index < Threads; ++index) {
        threads.emplace_back([&] {
            for (std::size_t run = next++; run < runs.size(); run = next++) {
                runs[run].result = HealthSimulation(runs[run].settings).run();
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
}

boost::json::array summarizeFaults(const std::vector<Run> &runs)
{
    boost::json::array rows;
    std::printf("%-42s %-19s %8s %8s %7s %9s %9s %8s %8s\n",
                "fault",
                "judge",
                "p50 s",
                "p99 s",
                "missed",
                "hurt",
                "on trial",
                "false",
                "floor");
    for (std::size_t kind = 1; kind < FaultNames.size(); ++kind) {
        for (std::size_t detector = 0; detector < FaultDetectorNames.size(); ++detector) {
            FaultSummary summary;
            for (const Run &run : runs) {
                const bool same = run.settings.fault.kind == static_cast<FaultKind>(kind)
                                  && run.settings.detector == static_cast<FaultDetectorKind>(detector);
                if (same) {
                    summary.add(run.result);
                }
            }
            if (summary.isEmpty()) {
                continue;
            }
            summary.print(FaultNames.at(kind), FaultDetectorNames.at(detector));
            rows.push_back(summary.toJson(FaultNames.at(kind), FaultDetectorNames.at(detector)));
        }
    }
    return rows;
}

boost::json::object summarizeHealthy(const std::vector<Run> &runs)
{
    HealthySummary summary;
    for (const Run &run : runs) {
        if (run.settings.fault.kind == FaultKind::None) {
            const double hours = toSeconds(run.settings.length) / 3'600;
            summary.add(run.result, hours * static_cast<double>(run.settings.service.targets));
        }
    }
    summary.print();
    return summary.toJson();
}

// Returns, for each setting, the decisive suspicion at which a target is ejected, with the simulation's number of
// proxies.
boost::json::object thresholds()
{
    boost::json::object result;
    for (const FaultDetectorKind kind :
         { FaultDetectorKind::Fast, FaultDetectorKind::Balanced, FaultDetectorKind::Cautious }) {
        FaultDetectorSettings settings;
        settings.targets = 1;
        for (std::uint64_t index = 1; index < Proxies; ++index) {
            settings.peers.push_back({ VmName { std::to_string(index) }, index });
        }
        ServiceHealthDetector detector(kind, settings);
        result[FaultDetectorNames.at(static_cast<std::size_t>(kind))] = detector.health()->views().front().threshold;
    }
    return result;
}

void search(int tries)
{
    const std::vector<SearchResult> worst = searchWorst(tries, FirstSeed, Threads);
    for (const SearchResult &result : worst) {
        std::printf("hurt %.1f%% of requests to it, out after %s s: %s\n",
                    100 * result.harmedShare,
                    result.detection < 0 ? "more than 75" : std::to_string(result.detection).c_str(),
                    describe(result.fault).c_str());
    }
}

} // namespace

int main(int argc, char **argv)
{
    Plan plan;
    std::string file;
    for (int index = 1; index < argc; ++index) {
        const std::string argument = argv[index];
        if (argument == "--quick") {
            plan = { 5, 3, 0.5, 1 };
        } else if (argument == "--faults" && index + 1 < argc) {
            const int count = std::stoi(argv[++index]);
            plan = { count, count / 3, 0, 0 };
        } else if (argument == "--json" && index + 1 < argc) {
            file = argv[++index];
        } else if (argument == "--search" && index + 1 < argc) {
            search(std::stoi(argv[++index]));
            return 0;
        } else {
            std::fprintf(stderr, "usage: bench-health [--quick] [--faults N] [--json FILE] | --search N\n");
            return 2;
        }
    }
    const auto start = std::chrono::steady_clock::now();
    std::vector<Run> runs = plannedRuns(plan);
    runAll(runs);
    boost::json::object document;
    document["firstSeed"] = FirstSeed;
    document["proxies"] = Proxies;
    document["thresholds"] = thresholds();
    document["faults"] = summarizeFaults(runs);
    if (plan.healthyRuns > 0) {
        document["healthy"] = summarizeHealthy(runs);
    }
    const double took = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    std::printf("took %.0f s on %u threads\n", took, Threads);
    if (!file.empty()) {
        std::ofstream(file) << boost::json::serialize(document) << '\n';
    }
    return 0;
}
