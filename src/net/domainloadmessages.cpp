#include "mulberryplank/net/domainloadmessages.h"

#include <algorithm>
#include <cmath>

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "mulberryplank/net/cerealcodec.h"

namespace mulberryplank
{

template<typename Archive>
void save(Archive &archive, const ServiceLoad &load)
{
    archive(load.service.value(), load.demand, load.capacity);
}

template<typename Archive>
void load(Archive &archive, ServiceLoad &load)
{
    std::string service;
    archive(service, load.demand, load.capacity);
    load.service = ServiceName(std::move(service));
}

template<typename Archive>
void save(Archive &archive, const DomainLoadMessage &message)
{
    archive(message.domain.value(), message.services);
}

template<typename Archive>
void load(Archive &archive, DomainLoadMessage &message)
{
    std::string domain;
    archive(domain, message.services);
    message.domain = FailureDomain(std::move(domain));
}

std::string encode(const DomainLoadMessage &message)
{
    return cerealEncode(message);
}

Result<DomainLoadMessage> decodeDomainLoadMessage(std::string_view bytes)
{
    Result<DomainLoadMessage> message = cerealDecode<DomainLoadMessage>(bytes);
    const auto isAmount = [](float value) {
        return std::isfinite(value) && value >= 0;
    };
    const auto isValid = [&isAmount](const ServiceLoad &load) {
        return isAmount(load.demand) && isAmount(load.capacity);
    };
    if (message && !std::all_of(message->services.begin(), message->services.end(), isValid)) {
        return failure(ErrorKind::BadRequest, "demand or capacity of a domain is out of range");
    }
    return message;
}

} // namespace mulberryplank
