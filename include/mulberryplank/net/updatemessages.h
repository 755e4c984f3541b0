#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/policy/configurationtransfer.h"
#include "mulberryplank/policy/logpage.h"
#include "mulberryplank/policy/targetdirectory.h"
#include "mulberryplank/policy/targethealth.h"

namespace mulberryplank
{

// What a process that doesn't read the store itself, or can't reach it, asks another for.
struct PeerUpdateRequest {
    std::uint64_t version = 0; // of the configuration that it has
    bool wantsConfiguration = false; // a piece of one that is newer
    std::uint64_t base = 0; // digest of the configuration that it has
    PiecePosition next; // where the transfer that it has begun goes on
    bool wantsTargets = false;
    std::uint64_t listOwner = 0; // the incarnation that gave it its list of targets
    std::uint64_t listVersion = 0; // of that list, as its owner counts
    Offset targetsNext = 0; // how far its list goes
};

// The answer.
struct PeerUpdate {
    std::uint64_t version = 0; // of the configuration in force there; 0: none
    ConfigurationPiece configuration; // of its bytes as they stand in the store, compressed
    bool storeResponds = true; // the one who is asked is served by the store, and will have what is new
    bool hasTargets = false; // its list is told, being up to date or further on than the one of who asks
    bool upToDate = false; // the list that is told
    std::int64_t ageMillis = 0; // since that list was read from the store
    Offset targetsNext = 0; // how far it goes
    std::uint64_t listOwner = 0;
    std::uint64_t listVersion = 0;
    bool unchanged = false; // the list is the one that was asked with, and isn't sent again
    // What differs from the list that was asked with, or else the whole list, which compressTargets() has made small.
    std::vector<AnnouncedTarget> changed;
    std::vector<TargetName> removed;
    std::string compressedTargets; // empty: only what differs is told
};

// Says whether the process that gave this answer has had no list of targets so far, and reads one from the store now.
bool readsFirstList(const PeerUpdate &update);

// Tells others that a process has update.
struct UpdateHint {
    std::uint64_t version = 0; // of the configuration in force there; 0: none, or the update are of something else
};

// Stands for a target among processes that know the same ones: a hash of its name. Reports are sent by the hundred each
// second, and names are most of what they hold: between failure domains their bytes are billed.
using TargetKey = std::uint64_t;

TargetKey targetKey(const TargetName &target);

// What a process tells the others of an attempt, or of the latest attempts at a target.
struct AttemptReport {
    TargetKey target = 0;
    AttemptResult result = AttemptResult::Reset; // Cancelled: it has begun, or was ended by us; Timeout: or is silent
    float logRatio = 0; // of what the odds of the target's sickness were multiplied by for it
    std::uint16_t ageMillis = 0; // since the target was sent a request last
};

// Returns the report of an attempt at a target that was sent a request last so long ago. Ages beyond what the report
// holds, about a minute, are told as that.
AttemptReport attemptReport(const TargetName &target, AttemptResult result, double logRatio, Duration age);

// Packs a list of targets, and unpacks it. Errors: BadConfiguration, BadRequest.
std::string compressTargets(const std::vector<AnnouncedTarget> &targets);
Result<std::vector<AnnouncedTarget>> decompressTargets(std::string_view compressed);

std::string encode(const PeerUpdateRequest &request);
std::string encode(const PeerUpdate &update);
std::string encode(const UpdateHint &hint);
std::string encode(const std::vector<AttemptReport> &reports);

// Decode verified bytes. Errors: BadRequest.
Result<PeerUpdateRequest> decodePeerUpdateRequest(std::string_view bytes);
Result<PeerUpdate> decodePeerUpdate(std::string_view bytes);
Result<UpdateHint> decodeUpdateHint(std::string_view bytes);
Result<std::vector<AttemptReport>> decodeAttemptReports(std::string_view bytes);

} // namespace mulberryplank
