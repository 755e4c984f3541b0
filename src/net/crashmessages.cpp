#include "mulberryplank/net/crashmessages.h"

#include <cereal/types/vector.hpp>

#include "mulberryplank/net/cerealcodec.h"

namespace mulberryplank
{

namespace internal
{

namespace
{

// A span that is encoded in whole milliseconds, rounded up: a request that was in flight for less was sent before the
// crash.
struct WholeMillis {
    Duration &span;
};

template<typename Archive>
void save(Archive &archive, const WholeMillis &millis)
{
    archive(static_cast<std::uint32_t>(std::chrono::ceil<Millis>(millis.span).count()));
}

template<typename Archive>
void load(Archive &archive, WholeMillis &millis)
{
    std::uint32_t count = 0;
    archive(count);
    millis.span = Millis(count);
}

} // namespace

} // namespace internal

template<typename Archive>
void serialize(Archive &archive, CrashSuspect &suspect)
{
    archive(suspect.request, internal::WholeMillis { suspect.inFlightFor });
}

template<typename Archive>
void serialize(Archive &archive, CrashReport &report)
{
    archive(report.target, internal::WholeMillis { report.age }, report.suspects);
}

template<typename Archive>
void serialize(Archive &archive, CrashMessage &message)
{
    archive(message.crashes, message.cleared);
}

template<typename Archive>
void serialize(Archive &archive, QuarantinedRequest &entry)
{
    archive(entry.request, internal::WholeMillis { entry.left });
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
