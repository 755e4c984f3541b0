#pragma once

#include <algorithm>
#include <vector>

namespace mulberryplank::fairnessmodel
{

// Returns the smallest value that a fraction `share` of the values doesn't exceed, or 0 without values.
inline double quantile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    const auto index =
        std::min(static_cast<std::size_t>(share * static_cast<double>(values.size())), values.size() - 1);
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
    return values[index];
}

// Returns Jain's fairness index of the values: 1 if all are equal, 1 / n if only one is nonzero.
inline double jainIndex(const std::vector<double> &values)
{
    double sum = 0;
    double squares = 0;
    for (const double value : values) {
        sum += value;
        squares += value * value;
    }
    return squares == 0 ? 1 : sum * sum / (static_cast<double>(values.size()) * squares);
}

// Returns the weighted max-min fair shares of a capacity: in proportion to the weights, and at most the demand of each.
inline std::vector<double> maxMinFairShares(const std::vector<double> &demands,
                                            const std::vector<double> &weights,
                                            double capacity)
{
    std::vector<std::size_t> order(demands.size());
    double weightLeft = 0;
    for (std::size_t index = 0; index < order.size(); ++index) {
        order[index] = index;
        weightLeft += weights[index];
    }
    std::sort(order.begin(), order.end(), [&](std::size_t one, std::size_t other) {
        return demands[one] / weights[one] < demands[other] / weights[other];
    });
    std::vector<double> shares(demands.size());
    for (const std::size_t index : order) {
        shares[index] = std::min(demands[index], capacity * weights[index] / weightLeft);
        capacity -= shares[index];
        weightLeft -= weights[index];
    }
    return shares;
}

} // namespace mulberryplank::fairnessmodel
