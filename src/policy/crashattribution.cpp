#include "mulberryplank/policy/crashattribution.h"

#include <algorithm>
#include <utility>

namespace mulberryplank
{

namespace internal
{

namespace
{

// Processes detect the same crash at slightly different times. A target that has restarted under its name crashes again
// later than that.
constexpr Duration SameCrashWindow = Seconds(1);
// Times of other processes are rounded to milliseconds and late by the network's delay. An attempt that follows a crash
// may appear to have been sent that much before it.
constexpr Duration TimeTolerance = Millis(5);
constexpr std::size_t ErrorsThatClear = 2; // in a row, without a crash in between

} // namespace

} // namespace internal

CrashAttribution::CrashAttribution(CrashAttributionSettings settings)
    : m_settings(settings)
{
}

bool CrashAttribution::recordSuccess(RequestFingerprint request)
{
    m_newSuccesses.insert(request);
    if (m_newSuccesses.size() >= m_settings.rememberedSuccesses) {
        m_oldSuccesses = std::exchange(m_newSuccesses, {});
    }
    return clearSuspect(request);
}

bool CrashAttribution::recordError(RequestFingerprint request)
{
    if (!isSuspect(request) || ++m_errors[request] < internal::ErrorsThatClear) {
        return false;
    }
    return clearSuspect(request);
}

bool CrashAttribution::isSuspect(RequestFingerprint request) const
{
    return std::any_of(m_crashes.begin(), m_crashes.end(), [request](const Crash &crash) {
        return crash.sentAt.contains(request);
    });
}

bool CrashAttribution::clearSuspect(RequestFingerprint request)
{
    m_errors.erase(request);
    bool wasSuspect = false;
    for (Crash &crash : m_crashes) {
        wasSuspect = crash.sentAt.erase(request) > 0 || wasSuspect;
    }
    return wasSuspect;
}

bool CrashAttribution::hasSucceeded(RequestFingerprint request) const
{
    return m_newSuccesses.contains(request) || m_oldSuccesses.contains(request);
}

CrashAttribution::Crash &CrashAttribution::crashOf(const CrashReport &report, Instant now)
{
    const Instant at = now - report.age;
    const auto known = std::find_if(m_crashes.begin(), m_crashes.end(), [&report, at](const Crash &crash) {
        return crash.target == report.target && std::chrono::abs(crash.at - at) < internal::SameCrashWindow;
    });
    if (known != m_crashes.end()) {
        return *known;
    }
    const auto later = std::find_if(m_crashes.begin(), m_crashes.end(), [at](const Crash &crash) {
        return crash.at > at;
    });
    return *m_crashes.insert(later, Crash { report.target, at, {} });
}

void CrashAttribution::expire(Instant now)
{
    while (!m_crashes.empty()
           && (m_crashes.size() > m_settings.maxCrashes || now - m_crashes.front().at > m_settings.evidenceLifetime)) {
        m_crashes.pop_front();
    }
    std::erase_if(m_errors, [this](const auto &errors) {
        return !isSuspect(errors.first);
    });
}

std::vector<RequestFingerprint> CrashAttribution::addCrash(const CrashReport &report, Instant now)
{
    Crash &crash = crashOf(report, now);
    if (crash.explained) {
        return {};
    }
    std::vector<RequestFingerprint> candidates;
    for (const CrashSuspect &suspect : report.suspects) {
        const bool isKnown = crash.sentAt.contains(suspect.request);
        if (!hasSucceeded(suspect.request) && (isKnown || crash.sentAt.size() < m_settings.maxSuspects)) {
            crash.sentAt.emplace(suspect.request, now - report.age - suspect.inFlightFor);
            m_errors.erase(suspect.request);
            candidates.push_back(suspect.request);
        }
    }
    expire(now);
    std::vector<RequestFingerprint> blamed;
    for (const RequestFingerprint candidate : candidates) {
        if (isBlamed(candidate)) {
            blamed.push_back(candidate);
            markExplained(candidate);
        }
    }
    return blamed;
}

void CrashAttribution::addExplainedCrash(const CrashReport &report, Instant now)
{
    Crash &crash = crashOf(report, now);
    crash.explained = true;
    crash.sentAt.clear();
    expire(now);
}

void CrashAttribution::markExplained(RequestFingerprint request)
{
    for (Crash &crash : m_crashes) {
        if (crash.sentAt.contains(request)) {
            crash.explained = true;
            crash.sentAt.clear();
        }
    }
}

bool CrashAttribution::isBlamed(RequestFingerprint request) const
{
    return crashesInSequence(request) >= m_settings.crashesBeforeBlame && isDistinguishable(request);
}

std::vector<const CrashAttribution::Crash *> CrashAttribution::crashesWith(RequestFingerprint request) const
{
    std::vector<const Crash *> found;
    for (const Crash &crash : m_crashes) {
        if (crash.sentAt.contains(request)) {
            found.push_back(&crash);
        }
    }
    return found;
}

// Counts the most crashes whose attempts didn't overlap in time, by taking the crash that ends first each time.
std::size_t CrashAttribution::crashesInSequence(RequestFingerprint request) const
{
    std::size_t count = 0;
    Instant lastCrash {};
    for (const Crash *crash : crashesWith(request)) {
        if (crash->sentAt.at(request) + internal::TimeTolerance >= lastCrash) {
            ++count;
            lastCrash = crash->at;
        }
    }
    return count;
}

// Returns whether no other request was in flight at all of the crashes at which this one was.
bool CrashAttribution::isDistinguishable(RequestFingerprint request) const
{
    const std::vector<const Crash *> crashes = crashesWith(request);
    for (const auto &[other, sentAt] : crashes.front()->sentAt) {
        const bool explainsAll = std::all_of(crashes.begin(), crashes.end(), [other = other](const Crash *crash) {
            return crash->sentAt.contains(other);
        });
        if (other != request && explainsAll) {
            return false;
        }
    }
    return true;
}

} // namespace mulberryplank
