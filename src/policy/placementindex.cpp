#include "mulberryplank/policy/placementindex.h"

#include <algorithm>
#include <limits>

#include "placementchoice.h"

namespace mulberryplank
{

namespace internal
{

// A newcomer with any score gets a place.
constexpr double Always = -std::numeric_limits<double>::infinity();

// No newcomer gets a place this way.
constexpr double Never = std::numeric_limits<double>::infinity();

// Returns true if the two say the same of where the member is and which process it is.
bool isReachedAlike(const Member &one, const Member &other)
{
    return one.incarnation == other.incarnation && one.peer == other.peer && one.caller == other.caller;
}

} // namespace internal

// A member that may be chosen, with the services that it carries.
struct PlacementIndex::Entry {
    Member member;
    std::uint64_t vmHash = 0;
    double capacity = 1;
    std::size_t domain = 0;
    std::uint64_t seen = 0; // the round that last had it
    std::vector<Placed *> carries;
};

struct PlacementIndex::Placed {
    ServiceName name;
    std::uint64_t hash = 0;
    ServiceSize size;
    std::vector<Entry *> carriers; // the strongest claim first
    std::vector<double> domainThresholds; // the least score for a place in this domain; beyond the end: any
    double restThreshold = internal::Always; // the least score for a place that goes to any domain
    bool dirty = false; // is to be placed again
    bool changed = false; // its carriers are others than were last reported
};

PlacementIndex::PlacementIndex(PlacementSettings settings)
    : m_settings(std::move(settings))
{
}

PlacementIndex::~PlacementIndex() = default;

std::vector<ServiceName> PlacementIndex::setMembers(const std::vector<Member> &members)
{
    ++m_round;
    std::vector<const Member *> came;
    for (const Member *member : internal::fittest(members, m_settings)) {
        if (!keep(*member)) {
            came.push_back(member);
        }
    }
    dropUnseen();
    for (const Member *member : came) {
        add(*member);
    }
    return placeDirty();
}

bool PlacementIndex::setService(const ServiceName &name, const ServiceSize &size)
{
    Placed &placed = m_services[name];
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
    for (Entry *entry : found->second.carriers) {
        std::erase(entry->carries, &found->second);
    }
    m_services.erase(found);
}

std::vector<Member> PlacementIndex::carriersOf(const ServiceName &name) const
{
    std::vector<Member> result;
    const auto found = m_services.find(name);
    if (found != m_services.end()) {
        for (const Entry *entry : found->second.carriers) {
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
bool PlacementIndex::keep(const Member &member)
{
    const auto found = m_entries.find(member.vm);
    if (found == m_entries.end()) {
        return false;
    }
    Entry &entry = *found->second;
    if (entry.member.failureDomain != member.failureDomain || entry.capacity != capacityOf(member)) {
        return false;
    }
    entry.seen = m_round;
    if (!internal::isReachedAlike(entry.member, member)) {
        for (Placed *placed : entry.carries) {
            placed->changed = true;
            markDirty(*placed);
        }
    }
    if (entry.member != member) {
        entry.member = member;
    }
    return true;
}

void PlacementIndex::dropUnseen()
{
    for (auto at = m_entries.begin(); at != m_entries.end();) {
        if (at->second->seen == m_round) {
            ++at;
            continue;
        }
        drop(*at->second);
        at = m_entries.erase(at);
    }
}

// Takes the member's places. Services that it doesn't carry would choose the same carriers without it.
void PlacementIndex::drop(Entry &entry)
{
    for (Placed *placed : entry.carries) {
        std::erase(placed->carriers, &entry);
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
    entry->seen = m_round;
    m_domains.resize(m_domainNumbers.size());
    m_domains[entry->domain].push_back({ entry->vmHash, entry->capacity, entry.get() });
    for (auto &[name, placed] : m_services) {
        if (!placed.dirty && mayCarry(placed, *entry)) {
            markDirty(placed);
        }
    }
    m_entries[member.vm] = std::move(entry);
}

void PlacementIndex::markDirty(Placed &placed)
{
    if (!placed.dirty) {
        placed.dirty = true;
        m_dirty.push_back(&placed);
    }
}

// Returns false only if the service would choose the same carriers with this member as without it. Equal scores count
// as enough, since the order of the names decides between them.
bool PlacementIndex::mayCarry(const Placed &placed, const Entry &entry) const
{
    double inDomain = internal::Always;
    if (entry.domain < placed.domainThresholds.size()) {
        inDomain = placed.domainThresholds[entry.domain];
    }
    const double score = internal::placementScore(placed.hash, entry.vmHash, entry.capacity);
    return score >= std::min(inDomain, placed.restThreshold);
}

std::vector<ServiceName> PlacementIndex::placeDirty()
{
    std::vector<ServiceName> changed;
    for (Placed *placed : m_dirty) {
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

void PlacementIndex::place(Placed &placed)
{
    std::vector<internal::DomainCandidates> domains(m_domains.size());
    for (std::size_t number = 0; number < m_domains.size(); ++number) {
        domains[number].reserve(m_domains[number].size());
        for (const Slot &slot : m_domains[number]) {
            const double score = internal::placementScore(placed.hash, slot.vmHash, slot.capacity);
            domains[number].push_back({ &slot.entry->member, score });
        }
    }
    const std::size_t wanted = internal::wantedCarriers(placed.size, m_settings);
    std::vector<Entry *> chosen;
    std::vector<double> scores;
    for (const internal::Candidate &candidate : internal::chooseCarriers(std::move(domains), wanted, m_settings)) {
        chosen.push_back(m_entries.at(candidate.member->vm).get());
        scores.push_back(candidate.score);
    }
    if (chosen != placed.carriers) {
        placed.changed = true;
        for (Entry *entry : placed.carriers) {
            std::erase(entry->carries, &placed);
        }
        placed.carriers = std::move(chosen);
        for (Entry *entry : placed.carriers) {
            entry->carries.push_back(&placed);
        }
    }
    setThresholds(placed, scores, wanted);
}

// The carriers come the strongest first: in each domain the first ones have its sure places, the others those that go
// to any domain.
void PlacementIndex::setThresholds(Placed &placed, const std::vector<double> &scores, std::size_t wanted)
{
    const double always = internal::Always;
    std::vector<std::size_t> sureInDomain(m_domains.size(), 0);
    std::size_t sure = 0;
    std::size_t rest = 0;
    placed.domainThresholds.assign(m_domains.size(), always);
    placed.restThreshold = internal::Never;
    for (std::size_t index = 0; index < scores.size(); ++index) {
        const std::size_t domain = placed.carriers[index]->domain;
        if (sureInDomain[domain] == m_settings.perFailureDomain) {
            ++rest;
            placed.restThreshold = scores[index];
            continue;
        }
        ++sure;
        ++sureInDomain[domain];
        if (sureInDomain[domain] == m_settings.perFailureDomain) {
            placed.domainThresholds[domain] = scores[index];
        }
    }
    if (sure + rest < wanted) {
        placed.restThreshold = internal::Always;
    }
}

} // namespace mulberryplank
