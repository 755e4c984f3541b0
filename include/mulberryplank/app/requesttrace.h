#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "mulberryplank/app/logline.h"

namespace mulberryplank
{

// The state that a gateway used at some moment, according to its log: the latest line of each kind.
struct LoggedState {
    std::optional<LogLine> routes; // routes-in-force
    std::optional<LogLine> targetList; // target-list-changed
    std::optional<LogLine> store; // platform-down or platform-back
    std::map<std::string, LogLine> suspicions; // target-suspected or target-returned, by target
};

// Collects the log lines of several gateways about one request and prints them in chronological order. Reads line by
// line and keeps only relevant lines, so logs can be of any size. The clocks of VMs may differ, so the order of lines
// of different gateways is only as accurate as these clocks. Thread-compatible.
class RequestTrace
{
public:
    explicit RequestTrace(std::string request);

    // Reads the next line of the log `source`, without its line break. Lines of one source must be passed in order.
    void read(const std::string &source, std::string_view text);

    // Returns true if any line is about the request.
    bool found() const;

    // Returns the human-readable trace, with the cause of a failure.
    std::string text() const;

private:
    // State read from one log.
    struct Source {
        std::string gateway; // the VM's name, or the source's until the log names the VM
        LoggedState state;
        std::uint64_t linesDropped = 0;
        bool running = false; // started and not stopped since
        std::vector<std::string> uncleanRestarts; // times of starts without a preceding clean stop
    };
    struct Step {
        std::string gateway;
        LogLine line;
        LoggedState state;
    };
    // Failed attempts of all requests at one target.
    struct TargetFailures {
        std::uint64_t count = 0;
        std::set<std::string> gateways;
    };

    void recordState(Source &source, const LogLine &line);
    void recordProcessState(Source &source, const LogLine &line);
    std::vector<Step> sortedSteps() const;
    std::string notFoundText() const;
    std::string causeText(const std::vector<Step> &steps) const;
    std::string targetText(const Step &failed) const;

    const std::string m_request;
    std::map<std::string, Source> m_sources;
    std::vector<Step> m_steps;
    std::map<std::string, TargetFailures> m_failures;
};

} // namespace mulberryplank
