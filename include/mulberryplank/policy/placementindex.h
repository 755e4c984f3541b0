#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "mulberryplank/policy/placement.h"

namespace mulberryplank
{

// Keeps the assignedProxies of every service up to date as members and services change. At any time it holds exactly
// what assignedProxies() returns for the same members, but a change of a member costs in proportion to the services
// that it touches, plus one score for each service when a member comes. Not synchronized.
class PlacementIndex
{
public:
    explicit PlacementIndex(PlacementSettings settings);
    ~PlacementIndex();
    PlacementIndex(const PlacementIndex &) = delete;
    PlacementIndex &operator=(const PlacementIndex &) = delete;

    // Commands.

    // Takes the members as they are now. Returns the services whose assignedProxies are others than before, or are
    // reached elsewhere, in order of name; a member that has merely applied more counts for none.
    std::vector<ServiceName> setMembers(const std::vector<Member> &members);

    // Adds a service, or sets its size. Returns true if its assignedProxies have changed.
    bool setService(const ServiceName &name, const ServiceSize &size);

    // Forgets a service.
    void removeService(const ServiceName &name);

    // Queries.

    // Returns the service's assignedProxies, the strongest claim first; none for a service that isn't known.
    std::vector<Member> assignedProxiesOf(const ServiceName &name) const;

    // Returns the services known, in order of name.
    std::vector<ServiceName> services() const;

private:
    struct Entry;
    struct PlacedService;

    // What scoring needs of a member, packed: placing a service goes over all of them.
    struct Slot {
        std::uint64_t vmHash = 0;
        double capacity = 1;
        Entry *entry = nullptr;
    };
    using Domain = std::vector<Slot>;

    double capacityOf(const Member &member) const;
    bool updateExisting(const Member &member);
    void add(const Member &member);
    void removeMember(Entry &entry);
    void removeUnseen();
    void markDirty(PlacedService &placed);
    bool mayBeAssigned(const PlacedService &placed, const Entry &entry) const;
    std::vector<ServiceName> placeDirty();
    void place(PlacedService &placed);
    void setThresholds(PlacedService &placed, const std::vector<double> &scores, std::size_t wanted);

    PlacementSettings m_settings;
    std::uint64_t m_round = 0;
    std::unordered_map<VmName, std::unique_ptr<Entry>> m_entries; // the members that may be chosen at present
    std::map<FailureDomain, std::size_t> m_domainNumbers;
    std::vector<Domain> m_domains;
    std::map<ServiceName, PlacedService> m_services;
    std::vector<PlacedService *> m_dirty;
};

} // namespace mulberryplank
