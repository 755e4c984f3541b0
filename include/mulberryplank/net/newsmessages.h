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

// What a process tells the others of an attempt's end.
struct AttemptReport {
    ServiceName service;
    TargetName target;
    AttemptResult result = AttemptResult::Reset; // Cancelled: the attempt has only begun
};

std::string encode(const PeerNewsRequest &request);
std::string encode(const PeerNews &news);
std::string encode(const std::vector<AttemptReport> &reports);

// Decode verified bytes. Errors: BadRequest.
Result<PeerNewsRequest> decodePeerNewsRequest(std::string_view bytes);
Result<PeerNews> decodePeerNews(std::string_view bytes);
Result<std::vector<AttemptReport>> decodeAttemptReports(std::string_view bytes);

} // namespace mulberryplank
