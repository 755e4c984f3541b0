#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/policy/logpage.h"
#include "mulberryplank/policy/targetdirectory.h"
#include "mulberryplank/policy/targethealth.h"

namespace mulberryplank
{

// What a process that can't reach the store asks another for.
struct PeerNewsRequest {
    std::uint64_t version = 0; // of the configuration that it has
    bool wantsTargets = false;
    std::uint64_t listOwner = 0; // the incarnation that gave it its list of targets
    std::uint64_t listVersion = 0; // of that list, as its owner counts
};

// The answer.
struct PeerNews {
    std::string configuration; // as it stands in the store; empty: nothing newer
    bool storeAnswers = true; // the one who is asked is served by the store, and will have what is new
    bool hasTargets = false; // it has a list that is up to date
    std::int64_t ageMillis = 0; // since that list was read from the store
    Offset targetsNext = 0; // how far it goes
    std::uint64_t listOwner = 0;
    std::uint64_t listVersion = 0;
    bool unchanged = false; // the list is the one that was asked with, and isn't sent again
    std::vector<AnnouncedTarget> targets;
};

// What a process tells the others of an attempt.
struct AttemptReport {
    ServiceName service;
    TargetName target;
    AttemptResult result = AttemptResult::Reset; // Cancelled: it has begun, or was ended by us; Timeout: or is silent
    double logRatio = 0; // of what the odds of the target's sickness were multiplied by for it
};

// How a process's requests of a service ended since it told the others last.
struct EndsReport {
    ServiceName service;
    std::uint32_t served = 0;
    std::uint32_t failed = 0;
};

// What a process tells the others in one datagram.
struct AttemptNews {
    std::vector<AttemptReport> attempts;
    std::vector<EndsReport> ends;
};

std::string encode(const PeerNewsRequest &request);
std::string encode(const PeerNews &news);
std::string encode(const AttemptNews &news);

// Decode verified bytes. Errors: BadRequest.
Result<PeerNewsRequest> decodePeerNewsRequest(std::string_view bytes);
Result<PeerNews> decodePeerNews(std::string_view bytes);
Result<AttemptNews> decodeAttemptNews(std::string_view bytes);

} // namespace mulberryplank
