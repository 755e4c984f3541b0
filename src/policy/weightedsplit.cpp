#include "mulberryplank/policy/weightedsplit.h"

#include <algorithm>
#include <random>

namespace mulberryplank
{

WeightedSplit::WeightedSplit(std::uint64_t seed)
    : m_seed(seed)
{
}

WeightedSplit::Division &WeightedSplit::divisionOf(const HostRoute &route)
{
    Division &division = m_divisions[route.name];
    if (division.services == route.services) {
        return division;
    }
    division.services = route.services;
    division.credit.clear();
    std::mt19937_64 random(m_seed ^ std::hash<std::string> {}(route.name));
    for (const WeightedService &part : route.services) {
        division.credit.push_back(std::uniform_real_distribution<double>(0, part.weight)(random));
    }
    return division;
}

const ServiceName &WeightedSplit::next(const HostRoute &route)
{
    if (route.services.size() == 1) {
        return route.services.front().service;
    }
    Division &division = divisionOf(route);
    double total = 0;
    std::size_t best = 0;
    for (std::size_t index = 0; index < division.services.size(); ++index) {
        division.credit[index] += division.services[index].weight;
        total += division.services[index].weight;
        if (division.credit[index] > division.credit[best]) {
            best = index;
        }
    }
    division.credit[best] -= total;
    return route.services[best].service;
}

} // namespace mulberryplank
