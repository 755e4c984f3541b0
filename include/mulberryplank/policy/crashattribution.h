#pragma once

#include <cstddef>
#include <deque>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "mulberryplank/base/time.h"
#include "mulberryplank/policy/requestfingerprint.h"
#include "mulberryplank/policy/targetkey.h"

namespace mulberryplank
{

// A request that was in flight at a target when the target crashed.
struct CrashSuspect {
    RequestFingerprint request {};
    Duration inFlightFor {}; // from its sending until the crash
};

// What one process knows of the crash of a target.
struct CrashReport {
    TargetKey target = 0;
    Duration age {}; // since the crash
    std::vector<CrashSuspect> suspects; // of the reporting process
};

struct CrashAttributionSettings {
    std::size_t crashesBeforeBlame = 3;
    // How long a crash is evidence. A request that returns more seldom crashes three targets each time it expires.
    Duration evidenceLifetime = Seconds(600);
    std::size_t maxCrashes = 128; // the oldest are dropped; bounds memory while many targets crash
    std::size_t maxSuspects = 64; // of one crash
    // Requests that have succeeded lately are no suspects. Between this number and twice as many are remembered.
    std::size_t rememberedSuccesses = 2'048;
};

// Finds requests that crash the targets that run them. A crash ends all requests in flight at the target, so that the
// requests beside the culprit are suspects as well. A request is blamed after `crashesBeforeBlame` crashes
//
// - each of an attempt that was sent after the crash before it, because attempts in flight at the same time may end by
//   a common cause, such as a power failure;
// - without a success of the same request at any target in between, or shortly before the crash, and without two error
//   responses in a row: a target that responds has survived. A single error may come from a target that didn't run it;
// - that no other suspect explains as well: a request that was beside the culprit each time can't be told from it, and
//   neither is blamed until a further crash or success tells.
//
// Crashes that a blamed request explains are no evidence against the requests beside it. Thread-compatible.
class CrashAttribution
{
public:
    explicit CrashAttribution(CrashAttributionSettings settings = {});

    // Records that a target has run the request and survived. Returns true if the request was a suspect, which the
    // other processes should be told.
    bool recordSuccess(RequestFingerprint request);

    // Records that a target has responded to the request with an error. Returns true if the request was a suspect and
    // is none any more, which the other processes should be told.
    bool recordError(RequestFingerprint request);

    // Clears a suspect, for example one that another process reports to be none. Returns true if it was a suspect.
    bool clearSuspect(RequestFingerprint request);

    // Returns true if the request has succeeded lately.
    bool hasSucceeded(RequestFingerprint request) const;

    // Adds a report on a crash, which other reports may be about as well. Returns the requests that are to blame now.
    std::vector<RequestFingerprint> addCrash(const CrashReport &report, Instant now);

    // Records a crash at which a request that is blamed already was in flight.
    void addExplainedCrash(const CrashReport &report, Instant now);

    // Clears all other requests of the crashes at which `request`, which is to blame, was in flight.
    void markExplained(RequestFingerprint request);

private:
    struct Crash {
        TargetKey target = 0;
        Instant at {};
        std::unordered_map<RequestFingerprint, Instant> sentAt; // of each suspect
        bool explained = false; // caused by a request that is blamed
    };

    Crash &crashOf(const CrashReport &report, Instant now);
    void expire(Instant now);
    bool isSuspect(RequestFingerprint request) const;
    bool isBlamed(RequestFingerprint request) const;
    std::size_t crashesInSequence(RequestFingerprint request) const;
    bool isDistinguishable(RequestFingerprint request) const;
    std::vector<const Crash *> crashesWith(RequestFingerprint request) const;

    const CrashAttributionSettings m_settings;
    std::deque<Crash> m_crashes; // ordered by `at`
    std::unordered_map<RequestFingerprint, std::size_t> m_errors; // of suspects, since their last crash
    std::unordered_set<RequestFingerprint> m_newSuccesses;
    std::unordered_set<RequestFingerprint> m_oldSuccesses;
};

} // namespace mulberryplank
