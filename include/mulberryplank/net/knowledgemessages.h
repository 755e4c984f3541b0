#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/policy/targetbalancer.h"
#include "mulberryplank/policy/targetkey.h"

namespace mulberryplank
{

// What a process knows of one target, as sent to another process.
struct KnowledgeReport {
    TargetKey target = 0;
    float faultProbability = 0;
    float load = 0; // requests of all callers
    std::uint16_t usedAgeMillis = 0; // since any process last sent it a request
};

// The most reports in one datagram. Each takes 18 bytes.
inline constexpr std::size_t KnowledgeReportsPerDatagram = 50;

// What the sender knows of targets of a service. A query has no reports.
struct KnowledgeMessage {
    ServiceName service;
    std::vector<KnowledgeReport> reports;
};

KnowledgeReport knowledgeReport(const TargetKnowledge &known, Instant now);

// Returns what a received report says about the target with that name.
TargetKnowledge knowledgeOf(const KnowledgeReport &report, const TargetName &target, Instant now);

std::string encode(const KnowledgeMessage &message);

// Decodes verified bytes. Errors: BadRequest, also for a probability or a load that is out of range.
Result<KnowledgeMessage> decodeKnowledgeMessage(std::string_view bytes);

} // namespace mulberryplank
