#include "mulberryplank/net/updatemessages.h"

#include <algorithm>
#include <limits>

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "mulberryplank/net/cerealcodec.h"
#include "mulberryplank/policy/compression.h"

namespace mulberryplank
{

template<typename Archive>
void serialize(Archive &archive, PiecePosition &position)
{
    archive(position.version, position.digest, position.begin);
}

template<typename Archive>
void serialize(Archive &archive, ConfigurationPiece &piece)
{
    archive(piece.position, piece.size, piece.base, piece.bytes);
}

template<typename Archive>
void serialize(Archive &archive, UpdateHint &hint)
{
    archive(hint.version);
}

// Eras come last, because processes of versions that know no eras send messages without them.
template<typename Archive, typename Message>
void saveEras(Archive &archive, const Message &message)
{
    archive(message.targetsNext.era, message.storeEra);
}

template<typename Archive, typename Message>
void loadEras(Archive &archive, Message &message)
{
    if (archive.hasMore()) {
        archive(message.targetsNext.era, message.storeEra);
    }
}

// All fields but the eras.
template<typename Archive, typename Request>
void archiveRequestFields(Archive &archive, Request &request)
{
    archive(request.version, request.wantsConfiguration, request.base, request.next);
    archive(request.wantsTargets, request.listOwner, request.listVersion, request.targetsNext.offset);
}

template<typename Archive>
void save(Archive &archive, const PeerUpdateRequest &request)
{
    archiveRequestFields(archive, request);
    saveEras(archive, request);
}

template<typename Archive>
void load(Archive &archive, PeerUpdateRequest &request)
{
    archiveRequestFields(archive, request);
    loadEras(archive, request);
}

template<typename Archive, typename Tag>
void save(Archive &archive, const Name<Tag> &name)
{
    archive(name.value());
}

template<typename Archive, typename Tag>
void load(Archive &archive, Name<Tag> &name)
{
    std::string value;
    archive(value);
    name = Name<Tag>(std::move(value));
}

template<typename Archive>
void serialize(Archive &archive, Endpoint &endpoint)
{
    archive(endpoint.host, endpoint.port);
}

template<typename Archive>
void save(Archive &archive, const AnnouncedTarget &target)
{
    const std::int64_t warmup = target.warmupLeft.count();
    archive(target.id, target.service, target.endpoint, target.failureDomain, target.slots, target.draining);
    archive(warmup, target.sequence, target.startedMillis);
}

template<typename Archive>
void load(Archive &archive, AnnouncedTarget &target)
{
    std::int64_t warmup = 0;
    archive(target.id, target.service, target.endpoint, target.failureDomain, target.slots, target.draining);
    archive(warmup, target.sequence, target.startedMillis);
    target.warmupLeft = Duration(warmup);
}

// All fields but the eras and what follows them.
template<typename Archive, typename Update>
void archiveUpdateFields(Archive &archive, Update &update)
{
    archive(update.version,
            update.configuration,
            update.storeResponds,
            update.hasTargets,
            update.upToDate,
            update.ageMillis,
            update.targetsNext.offset,
            update.listOwner,
            update.listVersion);
    archive(update.unchanged, update.changed, update.removed, update.compressedTargets);
}

template<typename Archive>
void save(Archive &archive, const PeerUpdate &update)
{
    archiveUpdateFields(archive, update);
    saveEras(archive, update);
    archive(update.expired, update.eraAgeMillis);
}

template<typename Archive>
void load(Archive &archive, PeerUpdate &update)
{
    archiveUpdateFields(archive, update);
    loadEras(archive, update);
    // Processes of earlier versions don't send these.
    if (archive.hasMore()) {
        archive(update.expired, update.eraAgeMillis);
    }
}

template<typename Archive>
void serialize(Archive &archive, AttemptReport &report)
{
    archive(report.target, report.result, report.logRatio, report.ageMillis);
}

bool readsFirstList(const PeerUpdate &update)
{
    return update.storeResponds && update.listOwner == 0;
}

AttemptReport attemptReport(const TargetName &target, AttemptResult result, double logRatio, Duration age)
{
    constexpr std::int64_t MaxAge = std::numeric_limits<std::uint16_t>::max();
    const std::int64_t millis = std::chrono::duration_cast<Millis>(age).count();
    AttemptReport report;
    report.target = targetKey(target);
    report.result = result;
    report.logRatio = static_cast<float>(logRatio);
    report.ageMillis = static_cast<std::uint16_t>(std::clamp<std::int64_t>(millis, 0, MaxAge));
    return report;
}

std::string compressTargets(const std::vector<AnnouncedTarget> &targets)
{
    return compress(cerealEncode(targets), {});
}

Result<std::vector<AnnouncedTarget>> decompressTargets(std::string_view compressed)
{
    const Result<std::string> bytes = decompress(compressed, {});
    if (!bytes) {
        return tl::make_unexpected(bytes.error());
    }
    return cerealDecode<std::vector<AnnouncedTarget>>(*bytes);
}

std::string encode(const PeerUpdateRequest &request)
{
    return cerealEncode(request);
}

std::string encode(const PeerUpdate &update)
{
    return cerealEncode(update);
}

std::string encode(const UpdateHint &hint)
{
    return cerealEncode(hint);
}

std::string encode(const std::vector<AttemptReport> &reports)
{
    return cerealEncode(reports);
}

Result<PeerUpdateRequest> decodePeerUpdateRequest(std::string_view bytes)
{
    return cerealDecode<PeerUpdateRequest>(bytes);
}

Result<PeerUpdate> decodePeerUpdate(std::string_view bytes)
{
    return cerealDecode<PeerUpdate>(bytes);
}

Result<UpdateHint> decodeUpdateHint(std::string_view bytes)
{
    return cerealDecode<UpdateHint>(bytes);
}

Result<std::vector<AttemptReport>> decodeAttemptReports(std::string_view bytes)
{
    return cerealDecode<std::vector<AttemptReport>>(bytes);
}

} // namespace mulberryplank
