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

// What a gateway went by at some moment, as its log tells: the latest line of each kind.
struct LoggedState {
    std::optional<LogLine> routes; // routes-in-force
    std::optional<LogLine> targetList; // target-list-changed
    std::optional<LogLine> store; // platform-down or platform-back
    std::map<std::string, LogLine> suspicions; // target-suspected or target-returned, by target
};

// Gathers what the logs of several gateways tell of one request, and tells it in order of time. Reads line by line and
// keeps only what it needs, so logs may be of any size. Clocks of VMs may differ: between gateways the order is only as
// good as they are.
class RequestTrace
{
public:
    explicit RequestTrace(std::string request);

    // Takes in the next line of the log `source`, without its line break. Lines of one source come in order.
    void read(const std::string &source, std::string_view text);

    // Returns true if any line told of the request.
    bool found() const;

    // Returns the story, with its cause, for people.
    std::string text() const;

private:
    // What has been read of one log.
    struct Source {
        std::string gateway; // the VM's name; before the log has told it, the source's
        LoggedState state;
        std::uint64_t linesDropped = 0;
        bool running = false; // started, and not ended since
        std::vector<std::string> uncleanRestarts; // times of starts after a process that didn't end by itself
    };
    struct Step {
        std::string gateway;
        LogLine line;
        LoggedState state;
    };
    // Failed attempts at a target, of any request.
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
