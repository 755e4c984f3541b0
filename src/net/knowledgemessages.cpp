#include "mulberryplank/net/knowledgemessages.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "mulberryplank/net/cerealcodec.h"

namespace mulberryplank
{

template<typename Archive>
void serialize(Archive &archive, KnowledgeReport &report)
{
    archive(report.target, report.faultProbability, report.load, report.usedAgeMillis);
}

template<typename Archive>
void save(Archive &archive, const KnowledgeMessage &message)
{
    archive(message.service.value(), message.reports);
}

template<typename Archive>
void load(Archive &archive, KnowledgeMessage &message)
{
    std::string service;
    archive(service, message.reports);
    message.service = ServiceName(std::move(service));
}

KnowledgeReport knowledgeReport(const TargetKnowledge &known, Instant now)
{
    constexpr std::int64_t MaxAge = std::numeric_limits<std::uint16_t>::max();
    const std::int64_t age = std::chrono::duration_cast<Millis>(now - known.usedAt).count();
    KnowledgeReport report;
    report.target = targetKey(known.id);
    report.faultProbability = static_cast<float>(known.faultProbability);
    report.load = static_cast<float>(known.load);
    report.usedAgeMillis = static_cast<std::uint16_t>(std::clamp<std::int64_t>(age, 0, MaxAge));
    return report;
}

TargetKnowledge knowledgeOf(const KnowledgeReport &report, const TargetName &target, Instant now)
{
    return { target, report.faultProbability, report.load, now - Millis(report.usedAgeMillis) };
}

std::string encode(const KnowledgeMessage &message)
{
    return cerealEncode(message);
}

Result<KnowledgeMessage> decodeKnowledgeMessage(std::string_view bytes)
{
    Result<KnowledgeMessage> message = cerealDecode<KnowledgeMessage>(bytes);
    const auto isValid = [](const KnowledgeReport &report) {
        const bool isProbability = report.faultProbability >= 0 && report.faultProbability <= 1;
        return isProbability && std::isfinite(report.load) && report.load >= 0;
    };
    if (message && !std::all_of(message->reports.begin(), message->reports.end(), isValid)) {
        return failure(ErrorKind::BadRequest, "fault probability or load of a target is out of range");
    }
    return message;
}

} // namespace mulberryplank
