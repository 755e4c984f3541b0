#include "mulberryplank/net/newsmessages.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "mulberryplank/net/cerealcodec.h"

namespace mulberryplank
{

template<typename Archive>
void serialize(Archive &archive, PeerNewsRequest &request)
{
    archive(request.version, request.wantsTargets, request.listOwner, request.listVersion);
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

template<typename Archive>
void serialize(Archive &archive, PeerNews &news)
{
    archive(news.configuration,
            news.storeAnswers,
            news.hasTargets,
            news.ageMillis,
            news.targetsNext,
            news.listOwner,
            news.listVersion);
    archive(news.unchanged, news.targets);
}

template<typename Archive>
void serialize(Archive &archive, AttemptReport &report)
{
    archive(report.service, report.target, report.result, report.logRatio);
}

template<typename Archive>
void serialize(Archive &archive, EndsReport &report)
{
    archive(report.service, report.served, report.failed);
}

template<typename Archive>
void serialize(Archive &archive, AttemptNews &news)
{
    archive(news.attempts, news.ends);
}

std::string encode(const PeerNewsRequest &request)
{
    return cerealEncode(request);
}

std::string encode(const PeerNews &news)
{
    return cerealEncode(news);
}

std::string encode(const AttemptNews &news)
{
    return cerealEncode(news);
}

Result<PeerNewsRequest> decodePeerNewsRequest(std::string_view bytes)
{
    return cerealDecode<PeerNewsRequest>(bytes);
}

Result<PeerNews> decodePeerNews(std::string_view bytes)
{
    return cerealDecode<PeerNews>(bytes);
}

Result<AttemptNews> decodeAttemptNews(std::string_view bytes)
{
    return cerealDecode<AttemptNews>(bytes);
}

} // namespace mulberryplank
