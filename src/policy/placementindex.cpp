#include "mulberryplank/policy/placementindex.h"

#include <algorithm>
#include <limits>

#include "placementchoice.h"

namespace mulberryplank
{

namespace internal
{

// A newcomer with any score gets a place.
constexpr double AnyScore = -std::numeric_limits<double>::infinity();

// No newcomer gets a place this way.
constexpr double NoScore = std::numeric_limits<double>::infinity();

// Returns true if the two say the same of where the member is and which process it is.
bool hasSameAddresses(const Member &one, const Member &other)
{
    return one.incarnation == other.incarnation && one.peer == other.peer && one.caller == other.caller;
}

} // namespace internal

// A member that may be chosen, with the services that it assignedServices.
struct PlacementIndex::Entry {
    Member member;
    std::uint64_t vmHash = 0;
    double capacity = 1;
    std::size_t domain = 0;
    std::uint64_t lastSeenRound = 0; // the round that last had it
    std::vector<PlacedService *> assignedServices;
};

struct PlacementIndex::PlacedService {
    ServiceName name;
    std::uint64_t hash = 0;
    ServiceSize size;
    std::vector<Entry *> assignedProxies; // the strongest claim first
    std::vector<double> domainThresholds; // the least score for a place in this domain; beyond the end: any
    double anyDomainThreshold = internal::AnyScore; // the least score for a place that goes to any domain
    bool dirty = false; // is to be placed again
    bool changed = false; // its assignedProxies are others than were last reported
};

PlacementIndex::PlacementIndex(PlacementSettings settings)
    : m_settings(std::move(settings))
{
}

PlacementIndex::~PlacementIndex() = default;

std::vector<ServiceName> PlacementIndex::setMembers(const std::vector<Member> &members)
{
    ++m_round;
    std::vector<const Member *> joined;
    for (const Member *member : internal::bestEligible(members, m_settings)) {
        if (!updateExisting(*member)) {
            joined.push_back(member);
        }
    }
    removeUnseen();
    for (const Member *member : joined) {
        add(*member);
    }
    return placeDirty();
}

bool PlacementIndex::setService(const ServiceName &name, const ServiceSize &size)
{
    PlacedService &placed = m_services[name];
    placed.name = name;
    placed.hash = internal::placementHash(name.value());
    placed.size = size;
    markDirty(placed);
    return !placeDirty().empty();
}

void PlacementIndex::removeService(const ServiceName &name)
{
    const auto found = m_services.find(name);
    if (found == m_services.end()) {
        return;
    }
    for (Entry *entry : found->second.assignedProxies) {
        std::erase(entry->assignedServices, &found->second);
    }
    m_services.erase(found);
}

std::vector<Member> PlacementIndex::assignedProxiesOf(const ServiceName &name) const
{
    std::vector<Member> result;
    const auto found = m_services.find(name);
    if (found != m_services.end()) {
        for (const Entry *entry : found->second.assignedProxies) {
            result.push_back(entry->member);
        }
    }
    return result;
}

std::vector<ServiceName> PlacementIndex::services() const
{
    std::vector<ServiceName> names;
    for (const auto &entry : m_services) {
        names.push_back(entry.first);
    }
    return names;
}

double PlacementIndex::capacityOf(const Member &member) const
{
    return m_settings.capacity ? m_settings.capacity(member) : 1;
}

// Returns false if the member isn't there with the same claims, so that it has to be added.
bool PlacementIndex::updateExisting(const Member &member)
{
    const auto found = m_entries.find(member.vm);
    if (found == m_entries.end()) {
        return false;
    }
    Entry &entry = *found->second;
    if (entry.member.failureDomain != member.failureDomain || entry.capacity != capacityOf(member)) {
        return false;
    }
    entry.lastSeenRound = m_round;
    if (!internal::hasSameAddresses(entry.member, member)) {
        for (PlacedService *placed : entry.assignedServices) {
            placed->changed = true;
            markDirty(*placed);
        }
    }
    if (entry.member != member) {
        entry.member = member;
    }
    return true;
}

void PlacementIndex::removeUnseen()
{
    for (auto at = m_entries.begin(); at != m_entries.end();) {
        if (at->second->lastSeenRound == m_round) {
            ++at;
            continue;
        }
        removeMember(*at->second);
        at = m_entries.erase(at);
    }
}

// Takes the member's places. Services that it doesn't carry would choose the same assignedProxies without it.
void PlacementIndex::removeMember(Entry &entry)
{
    for (PlacedService *placed : entry.assignedServices) {
        std::erase(placed->assignedProxies, &entry);
        placed->changed = true;
        markDirty(*placed);
    }
    Domain &domain = m_domains.at(entry.domain);
    const auto slot = std::find_if(domain.begin(), domain.end(), [&entry](const Slot &one) {
        return one.entry == &entry;
    });
    *slot = domain.back();
    domain.pop_back();
}

void PlacementIndex::add(const Member &member)
{
    auto entry = std::make_unique<Entry>();
    entry->member = member;
    entry->vmHash = internal::placementHash(member.vm.value());
    entry->capacity = capacityOf(member);
    entry->domain = m_domainNumbers.try_emplace(member.failureDomain, m_domains.size()).first->second;
    entry->lastSeenRound = m_round;
    m_domains.resize(m_domainNumbers.size());
    m_domains[entry->domain].push_back({ entry->vmHash, entry->capacity, entry.get() });
    for (auto &[name, placed] : m_services) {
        if (!placed.dirty && mayBeAssigned(placed, *entry)) {
            markDirty(placed);
        }
    }
    m_entries[member.vm] = std::move(entry);
}

void PlacementIndex::markDirty(PlacedService &placed)
{
    if (!placed.dirty) {
        placed.dirty = true;
        m_dirty.push_back(&placed);
    }
}

// Returns false only if the service would choose the same assignedProxies with this member as without it. Equal scores
// count as enough, since the order of the names decides between them.
bool PlacementIndex::mayBeAssigned(const PlacedService &placed, const Entry &entry) const
{
    double inDomain = internal::AnyScore;
    if (entry.domain < placed.domainThresholds.size()) {
        inDomain = placed.domainThresholds[entry.domain];
    }
    const double score = internal::placementScore(placed.hash, entry.vmHash, entry.capacity);
    return score >= std::min(inDomain, placed.anyDomainThreshold);
}

std::vector<ServiceName> PlacementIndex::placeDirty()
{
    std::vector<ServiceName> changed;
    for (PlacedService *placed : m_dirty) {
        place(*placed);
        if (placed->changed) {
            changed.push_back(placed->name);
        }
        placed->changed = false;
        placed->dirty = false;
    }
    m_dirty.clear();
    std::sort(changed.begin(), changed.end());
    return changed;
}

void PlacementIndex::place(PlacedService &placed)
{
    std::vector<internal::DomainCandidates> domains(m_domains.size());
    for (std::size_t number = 0; number < m_domains.size(); ++number) {
        domains[number].reserve(m_domains[number].size());
        for (const Slot &slot : m_domains[number]) {
            const double score = internal::placementScore(placed.hash, slot.vmHash, slot.capacity);
            domains[number].push_back({ &slot.entry->member, score });
        }
    }
    const std::size_t wanted = internal::wantedProxyCount(placed.size, m_settings);
    std::vector<Entry *> chosen;
    std::vector<double> scores;
    for (const internal::Candidate &candidate : internal::chooseProxies(std::move(domains), wanted, m_settings)) {
        chosen.push_back(m_entries.at(candidate.member->vm).get());
        scores.push_back(candidate.score);
    }
    if (chosen != placed.assignedProxies) {
        placed.changed = true;
        for (Entry *entry : placed.assignedProxies) {
            std::erase(entry->assignedServices, &placed);
        }
        placed.assignedProxies = std::move(chosen);
        for (Entry *entry : placed.assignedProxies) {
            entry->assignedServices.push_back(&placed);
        }
    }
    setThresholds(placed, scores, wanted);
}

// The assignedProxies come the strongest first: in each domain the first ones have its reserved places, the others
// those that go to any domain.
void PlacementIndex::setThresholds(PlacedService &placed, const std::vector<double> &scores, std::size_t wanted)
{
    const double anyScore = internal::AnyScore;
    std::vector<std::size_t> reservedInDomain(m_domains.size(), 0);
    std::size_t reserved = 0;
    std::size_t rest = 0;
    placed.domainThresholds.assign(m_domains.size(), anyScore);
    placed.anyDomainThreshold = internal::NoScore;
    for (std::size_t index = 0; index < scores.size(); ++index) {
        const std::size_t domain = placed.assignedProxies[index]->domain;
        if (reservedInDomain[domain] == m_settings.minPerFailureDomain) {
            ++rest;
            placed.anyDomainThreshold = scores[index];
            continue;
        }
        ++reserved;
        ++reservedInDomain[domain];
        if (reservedInDomain[domain] == m_settings.minPerFailureDomain) {
            placed.domainThresholds[domain] = scores[index];
        }
    }
    if (reserved + rest < wanted) {
        placed.anyDomainThreshold = internal::AnyScore;
    }
}

} // namespace mulberryplank
