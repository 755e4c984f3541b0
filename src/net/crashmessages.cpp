#include "mulberryplank/net/crashmessages.h"

#include <cereal/types/vector.hpp>

#include "mulberryplank/net/cerealcodec.h"

namespace mulberryplank
{

namespace internal
{

namespace
{

// Returns the span in whole milliseconds, rounded up: a request that was in flight for less was sent before the crash.
std::uint32_t toMillis(Duration span)
{
    return static_cast<std::uint32_t>(std::chrono::ceil<Millis>(span).count());
}

} // namespace

} // namespace internal

template<typename Archive>
void save(Archive &archive, const CrashSuspect &suspect)
{
    archive(suspect.request, internal::toMillis(suspect.inFlightFor));
}

template<typename Archive>
void load(Archive &archive, CrashSuspect &suspect)
{
    std::uint32_t millis = 0;
    archive(suspect.request, millis);
    suspect.inFlightFor = Millis(millis);
}

template<typename Archive>
void save(Archive &archive, const CrashReport &report)
{
    archive(report.target, internal::toMillis(report.age), report.suspects);
}

template<typename Archive>
void load(Archive &archive, CrashReport &report)
{
    std::uint32_t millis = 0;
    archive(report.target, millis, report.suspects);
    report.age = Millis(millis);
}

template<typename Archive>
void serialize(Archive &archive, CrashMessage &message)
{
    archive(message.crashes, message.cleared);
}

template<typename Archive>
void save(Archive &archive, const QuarantinedRequest &entry)
{
    archive(entry.request, internal::toMillis(entry.left));
}

template<typename Archive>
void load(Archive &archive, QuarantinedRequest &entry)
{
    std::uint32_t millis = 0;
    archive(entry.request, millis);
    entry.left = Millis(millis);
}

std::string encode(const CrashMessage &message)
{
    return cerealEncode(message);
}

std::string encode(const std::vector<QuarantinedRequest> &requests)
{
    return cerealEncode(requests);
}

Result<CrashMessage> decodeCrashMessage(std::string_view bytes)
{
    return cerealDecode<CrashMessage>(bytes);
}

Result<std::vector<QuarantinedRequest>> decodeQuarantinedRequests(std::string_view bytes)
{
    return cerealDecode<std::vector<QuarantinedRequest>>(bytes);
}

} // namespace mulberryplank
