#include "mulberryplank/app/requesttrace.h"

#include <algorithm>
#include <charconv>
#include <sstream>

#include "mulberryplank/app/linewriter.h"
#include "mulberryplank/base/errorkind.h"

namespace mulberryplank
{

namespace internal
{

namespace
{

double toNumber(const std::string &text)
{
    double value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

// Returns "3 services" or "1 service".
std::string withCount(const std::string &count, const std::string &noun)
{
    return count + " " + noun + (count == "1" ? "" : "s");
}

std::string seconds(const std::string &millis)
{
    std::ostringstream text;
    text.precision(3);
    text << toNumber(millis) / 1000 << " s";
    return text.str();
}

std::string stateText(const LoggedState &state)
{
    std::ostringstream text;
    if (state.routes) {
        text << "configuration " << state.routes->field("version") << " since " << state.routes->time;
    } else {
        text << "no configuration told of";
    }
    if (state.targetList) {
        text << "; " << withCount(state.targetList->field("targets"), "target") << " ("
             << state.targetList->field("draining") << " draining) by the " << state.targetList->field("source")
             << " since " << state.targetList->time;
    }
    if (state.store && state.store->is(Event::PlatformDown)) {
        text << "; the store does not answer since " << state.store->time;
    }
    return text.str();
}

// Returns how the attempt failed, based on its result and on the progress before the failure.
std::string attemptCause(const LogLine &line)
{
    const std::string result = line.field("result");
    const bool sent = line.field("sent") == "1";
    const std::string status = line.field("status");
    if (result == "connect-failed") {
        return "took no connection";
    }
    if (result == "shed") {
        return "refused it for load, and did not run it (status " + status + ")";
    }
    if (result == "reset") {
        return sent ? "broke the connection after the request was sent" : "broke the connection";
    }
    if (result == "timeout") {
        return status == "0" ? "gave no answer in time" : "began an answer (status " + status + ") and did not end it";
    }
    if (result == "stalled") {
        return "stopped in the middle of its answer (status " + status + ")";
    }
    if (result == "truncated") {
        return "ended its answer too early (status " + status + ")";
    }
    if (result == "mismatched") {
        return "answered something else: the answer's id, signature or form was wrong (status " + status + ")";
    }
    return "answered with an error of its own (status " + status + ")";
}

std::string loadAgeText(const LogLine &line)
{
    const std::string age = line.field("load_age_ms");
    return toNumber(age) < 0 ? "it had told none" : "told " + seconds(age) + " before";
}

std::string attemptText(const LogLine &line)
{
    std::ostringstream text;
    text << "attempt " << line.field("attempt") << " at " << line.field("target") << " (" << line.field("service")
         << ") failed after " << line.field("duration_ms") << " ms: it " << attemptCause(line) << "; chosen with risk "
         << toNumber(line.field("risk")) << " and load " << toNumber(line.field("load")) << " (" << loadAgeText(line)
         << "); left: " << line.field("left_ms") << " ms, " << toNumber(line.field("budget"))
         << " further attempts in the budget";
    return text.str();
}

std::string stepText(const LogLine &line)
{
    if (line.is(Event::AttemptFailed)) {
        return attemptText(line);
    }
    if (line.is(Event::RequestEnded)) {
        const std::string error = line.field("error");
        return "ended after " + withCount(line.field("attempts"), "attempt") + " and " + line.field("duration_ms")
               + " ms: " + line.field("outcome") + (error.empty() ? "" : " (" + error + ")");
    }
    if (line.is(Event::RequestRefused)) {
        const std::string detail = line.field("detail");
        return "answered by the gateway itself: " + line.field("kind") + ", " + line.field("outcome")
               + (detail.empty() ? "" : ": " + detail);
    }
    std::string text = line.name;
    for (const LogField &field : line.fields) {
        text += " " + field.key + "=" + field.value;
    }
    return text;
}

// Returns why there was no further attempt after the last failed one.
std::string noRetryReason(const LogLine &failed, const LogLine *ended)
{
    const bool sent = failed.field("sent") == "1" && failed.field("result") != "shed";
    if (ended != nullptr && ended->field("kind") == "once" && sent) {
        return "it may run only once and could have run, so it was not sent again";
    }
    if (toNumber(failed.field("left_ms")) <= 0) {
        return "its time was up";
    }
    if (toNumber(failed.field("budget")) < 1) {
        return "the budget for further attempts was used up";
    }
    return "no further attempt was allowed by its route, or no other target took work";
}

// Returns the reason for a rejection without any attempt.
std::string refusalCause(const LogLine &line)
{
    const std::optional<ErrorKind> kind = errorKindFromString(line.field("kind"));
    const std::string detail = line.field("detail");
    if (kind == ErrorKind::NoTarget) {
        return "no target of the service took work";
    }
    if (kind == ErrorKind::NotFound) {
        return "configuration " + line.field("config") + " has no route for its host and path";
    }
    if (kind == ErrorKind::Unauthenticated) {
        return "the caller sent " + detail + " in configuration " + line.field("config");
    }
    if (kind == ErrorKind::RateLimited) {
        return "account " + line.field("account") + " has used up its limit";
    }
    if (kind == ErrorKind::Draining) {
        return "the process had been told to stop and was about to end";
    }
    return line.field("kind") + (detail.empty() ? "" : ": " + detail);
}

} // namespace

} // namespace internal

RequestTrace::RequestTrace(std::string request)
    : m_request(std::move(request))
{
}

void RequestTrace::recordProcessState(Source &source, const LogLine &line)
{
    if (line.is(Event::ProcessStarted)) {
        source.gateway = line.field("vm");
        source.state = {};
        if (source.running) {
            source.uncleanRestarts.push_back(line.time);
        }
        source.running = true;
    } else if (line.is(Event::DrainFinished)) {
        source.running = false;
    }
}

void RequestTrace::recordState(Source &source, const LogLine &line)
{
    LoggedState &state = source.state;
    if (line.is(Event::RoutesInForce)) {
        state.routes = line;
    } else if (line.is(Event::TargetListChanged)) {
        state.targetList = line;
    } else if (line.is(Event::PlatformDown) || line.is(Event::PlatformBack)) {
        state.store = line;
    } else if (line.is(Event::TargetSuspected) || line.is(Event::TargetReturned)) {
        state.suspicions[line.field("target")] = line;
    }
}

void RequestTrace::read(const std::string &source, std::string_view text)
{
    Source &log = m_sources[source];
    if (log.gateway.empty()) {
        log.gateway = source;
    }
    if (text.starts_with(LinesDroppedPrefix)) {
        log.linesDropped +=
            static_cast<std::uint64_t>(internal::toNumber(std::string(text.substr(LinesDroppedPrefix.size()))));
        return;
    }
    const std::optional<LogLine> line = parseLogLine(text);
    if (!line) {
        return;
    }
    recordProcessState(log, *line);
    recordState(log, *line);
    if (line->is(Event::AttemptFailed)) {
        TargetFailures &failures = m_failures[line->field("target")];
        ++failures.count;
        failures.gateways.insert(log.gateway);
    }
    if (line->field("request") == m_request) {
        m_steps.push_back({ log.gateway, *line, log.state });
    }
}

bool RequestTrace::found() const
{
    return !m_steps.empty();
}

std::vector<RequestTrace::Step> RequestTrace::sortedSteps() const
{
    std::vector<Step> steps = m_steps;
    std::stable_sort(steps.begin(), steps.end(), [](const Step &one, const Step &other) {
        return one.line.time < other.line.time;
    });
    return steps;
}

// Returns the text for a request without log lines: its first attempt succeeded, its gateway was killed, or lines were
// dropped.
std::string RequestTrace::notFoundText() const
{
    std::ostringstream text;
    text << "request " << m_request << ": no line tells of it\n"
         << "Either its first attempt was answered, or it never came to these gateways, or:\n";
    for (const auto &[name, source] : m_sources) {
        for (const std::string &time : source.uncleanRestarts) {
            text << "  " << source.gateway << ": a process ended without a word before the start at " << time << '\n';
        }
        if (source.linesDropped > 0) {
            text << "  " << source.gateway << ": " << source.linesDropped << " lines of the log were dropped\n";
        }
    }
    return text.str();
}

std::string RequestTrace::targetText(const Step &failed) const
{
    const std::string target = failed.line.field("target");
    std::ostringstream text;
    const auto failures = m_failures.find(target);
    if (failures != m_failures.end()) {
        text << "target " << target << ": "
             << internal::withCount(std::to_string(failures->second.count), "failed attempt") << " in these logs, at "
             << internal::withCount(std::to_string(failures->second.gateways.size()), "gateway");
    }
    const auto suspicion = failed.state.suspicions.find(target);
    if (suspicion != failed.state.suspicions.end()) {
        const bool suspected = suspicion->second.is(Event::TargetSuspected);
        text << (suspected ? "; suspected since " : "; trusted again since ") << suspicion->second.time;
    } else {
        text << "; not suspected at the time";
    }
    return text.str() + "\n";
}

std::string RequestTrace::text() const
{
    if (!found()) {
        return notFoundText();
    }
    const std::vector<Step> steps = sortedSteps();
    std::ostringstream text;
    text << "request " << m_request << '\n';
    std::string gateway;
    for (const Step &step : steps) {
        if (step.gateway != gateway) {
            gateway = step.gateway;
            text << step.line.time << "  " << gateway << "  went by " << internal::stateText(step.state) << '\n';
        }
        text << step.line.time << "  " << gateway << "  " << internal::stepText(step.line) << '\n';
    }
    return text.str() + causeText(steps);
}

std::string RequestTrace::causeText(const std::vector<Step> &steps) const
{
    const Step *failed = nullptr;
    const LogLine *ended = nullptr;
    const LogLine *refused = nullptr;
    for (const Step &step : steps) {
        failed = step.line.is(Event::AttemptFailed) ? &step : failed;
        ended = step.line.is(Event::RequestEnded) ? &step.line : ended;
        refused = step.line.is(Event::RequestRefused) ? &step.line : refused;
    }
    const bool responded =
        ended != nullptr && ended->field("outcome") == toString(Outcome::Answered) && ended->field("error").empty();
    std::string cause;
    if (responded) {
        cause = "none; " + ended->field("target") + " answered in the end";
    } else if (ended != nullptr && ended->field("error") == toString(ErrorKind::Cancelled)) {
        cause = "the caller left before there was an answer";
    } else if (failed != nullptr) {
        cause = failed->line.field("target") + " " + internal::attemptCause(failed->line) + "; "
                + internal::noRetryReason(failed->line, ended);
    } else if (refused != nullptr) {
        cause = internal::refusalCause(*refused);
    } else {
        cause = "not told by these lines";
    }
    return "cause: " + cause + "\n" + (failed != nullptr ? targetText(*failed) : "");
}

} // namespace mulberryplank
