#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "mulberryplank/policy/placement.h"

namespace mulberryplank
{

// Keeps the assigned proxies of every service up to date as members and services change. Always holds exactly what
// assignedProxies() returns for the same members. A change of a member costs time in proportion to the services that it
// affects, plus one score per service when a member joins. Thread-compatible.
class PlacementIndex
{
public:
    explicit PlacementIndex(PlacementSettings settings);
    ~PlacementIndex();
    PlacementIndex(const PlacementIndex &) = delete;
    PlacementIndex &operator=(const PlacementIndex &) = delete;

    // Commands.

    // Replaces the members. Returns the services whose assigned proxies or their addresses have changed, ordered by
    // name. A change of a member's applied offset alone doesn't count.
    std::vector<ServiceName> setMembers(const std::vector<Member> &members);

    // Adds a service or sets its size. Returns true if its assigned proxies have changed.
    bool setService(const ServiceName &name, const ServiceSize &size);

    // Removes a service.
    void removeService(const ServiceName &name);

    // Queries.

    // Returns a service's assigned proxies, highest score first; none for an unknown service.
    std::vector<Member> assignedProxiesOf(const ServiceName &name) const;

    // Returns all services, ordered by name.
    std::vector<ServiceName> services() const;

private:
    struct Entry;
    struct PlacedService;

    // The data of a member that scoring needs, stored compactly because placing a service iterates over all members.
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
    std::unordered_map<VmName, std::unique_ptr<Entry>> m_entries; // the members that are currently eligible
    std::map<FailureDomain, std::size_t> m_domainNumbers;
    std::vector<Domain> m_domains;
    std::map<ServiceName, PlacedService> m_services;
    std::vector<PlacedService *> m_dirty;
};

} // namespace mulberryplank
