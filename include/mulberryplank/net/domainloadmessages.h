#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/base/name.h"
#include "mulberryplank/policy/domainshares.h"

namespace mulberryplank
{

// The sender's report on one service in its failure domain.
struct ServiceLoad {
    ServiceName service;
    float demand = 0; // slots that its callers' requests keep busy
    float capacity = 0; // its estimate of the slots of the domain's targets
};

// The most services in one datagram. Each takes up to 80 bytes.
inline constexpr std::size_t ServiceLoadsPerDatagram = 10;

// Reports of an ingress proxy for the other ones. Versions that don't know this message ignore it; their domains then
// have no capacity that others count on, and get no agreed share.
struct DomainLoadMessage {
    FailureDomain domain; // the sender's
    std::vector<ServiceLoad> services;
};

std::string encode(const DomainLoadMessage &message);

// Decodes verified bytes. Errors: BadRequest, also for a demand or a capacity that is out of range.
Result<DomainLoadMessage> decodeDomainLoadMessage(std::string_view bytes);

} // namespace mulberryplank
