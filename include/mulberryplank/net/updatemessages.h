#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/policy/configurationtransfer.h"
#include "mulberryplank/policy/storeposition.h"
#include "mulberryplank/policy/targetdirectory.h"
#include "mulberryplank/policy/targethealth.h"
#include "mulberryplank/policy/targetkey.h"

namespace mulberryplank
{

// A query by a process that doesn't read the store itself or can't reach it. Fields describe the querying process.
struct PeerUpdateRequest {
    std::uint64_t version = 0; // of the configuration in force
    bool wantsConfiguration = false; // a piece of a newer one
    std::uint64_t base = 0; // digest of the configuration in force
    PiecePosition next; // where the current transfer continues
    bool wantsTargets = false;
    std::uint64_t listOwner = 0; // the incarnation that provided its list of targets
    std::uint64_t listVersion = 0; // of that list, as counted by its owner
    StorePosition targetsNext; // up to which its list was read
    StoreEra storeEra = 0; // the newest one known
};

// The response to a PeerUpdateRequest. Fields describe the responding process.
struct PeerUpdate {
    std::uint64_t version = 0; // of the configuration in force; 0: none
    ConfigurationPiece configuration; // of its compressed bytes, as stored
    bool storeResponds = true; // the store serves the responding process, which will get new records
    bool hasTargets = false; // a list is included that is up to date or newer than the requester's
    bool upToDate = false; // whether that list is up to date
    std::int64_t ageMillis = 0; // since that list was read from the store
    StorePosition targetsNext; // up to which it was read
    StoreEra storeEra = 0; // the newest one known
    std::uint64_t listOwner = 0;
    std::uint64_t listVersion = 0;
    bool unchanged = false; // the requester has this list already, so it isn't sent again
    // The difference from the requester's list, or else the whole list, compressed by compressTargets().
    std::vector<AnnouncedTarget> changed;
    std::vector<TargetName> removed;
    std::string compressedTargets; // empty: only the difference is sent
    std::vector<TargetName> expired; // of the targets sent, those whose entries have expired and that are still kept
    std::int64_t eraAgeMillis = 0; // since the responding process, or one that it heard of, learned of `storeEra`
};

// Returns whether the responding process has had no list of targets so far and is reading one from the store.
bool readsFirstList(const PeerUpdate &update);

// A hint to other processes that the sender has an update.
struct UpdateHint {
    std::uint64_t version = 0; // of the sender's configuration in force; 0: none, or the update isn't a configuration
};

// What a process reports to others about an attempt, or about the latest attempts at a target.
struct AttemptReport {
    TargetKey target = 0;
    // Cancelled: the attempt has started, or this process ended it; Timeout: it failed or has had no response so far.
    AttemptResult result = AttemptResult::Reset;
    float logRatio = 0; // log of the factor by which it changed the odds that the target is faulty
    std::uint16_t ageMillis = 0; // since the latest request to the target
};

// Returns the report of an attempt at a target whose latest request is `age` ago. The age is limited to what the report
// holds, about a minute.
AttemptReport attemptReport(const TargetName &target, AttemptResult result, double logRatio, Duration age);

// Compress and decompress a list of targets. Errors: BadConfiguration, BadRequest.
std::string compressTargets(const std::vector<AnnouncedTarget> &targets);
Result<std::vector<AnnouncedTarget>> decompressTargets(std::string_view compressed);

std::string encode(const PeerUpdateRequest &request);
std::string encode(const PeerUpdate &update);
std::string encode(const UpdateHint &hint);
std::string encode(const std::vector<AttemptReport> &reports);

// Decode authenticated bytes. Errors: BadRequest.
Result<PeerUpdateRequest> decodePeerUpdateRequest(std::string_view bytes);
Result<PeerUpdate> decodePeerUpdate(std::string_view bytes);
Result<UpdateHint> decodeUpdateHint(std::string_view bytes);
Result<std::vector<AttemptReport>> decodeAttemptReports(std::string_view bytes);

} // namespace mulberryplank
