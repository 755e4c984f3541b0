#pragma once

// Aggregates many runs into the rows of the tables.

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json.hpp>

#include "healthsimulation.h"

namespace healthmodel
{

class FaultSummary
{
public:
    void add(const HealthSimulationResult &result)
    {
        ++m_runs;
        m_harmed += result.harmed;
        m_onTrial += result.harmedOnTrial;
        m_falseEjections += result.falseEjections;
        m_floorViolations += result.floorViolations;
        m_unserved += result.unserved;
        m_requests += result.requests;
        m_allSlow += result.allSlowEvents;
        for (const double seconds : result.detection) {
            m_detection.push_back(seconds < 0 ? NotFound : seconds);
        }
    }

    bool isEmpty() const
    {
        return m_runs == 0;
    }

    void print(std::string_view fault, std::string_view detector)
    {
        std::printf("%-42s %-19s %8s %8s %6.0f%% %9.1f %9.1f %8.2f %8.2f\n",
                    std::string(fault).c_str(),
                    std::string(detector).c_str(),
                    text(quantile(0.5)).c_str(),
                    text(quantile(0.99)).c_str(),
                    100 * missed(),
                    m_harmed / m_runs,
                    m_onTrial / m_runs,
                    m_falseEjections / m_runs,
                    m_floorViolations / m_runs);
    }

    boost::json::object toJson(std::string_view fault, std::string_view detector)
    {
        boost::json::object row;
        row["fault"] = fault;
        row["judge"] = detector;
        row["runs"] = m_runs;
        row["p50Seconds"] = value(quantile(0.5));
        row["p99Seconds"] = value(quantile(0.99));
        row["missedShare"] = missed();
        row["hurtPerRun"] = m_harmed / m_runs;
        row["hurtOnTrialPerRun"] = m_onTrial / m_runs;
        row["falseEjectionsPerRun"] = m_falseEjections / m_runs;
        row["floorViolationsPerRun"] = m_floorViolations / m_runs;
        row["unservedShare"] = m_unserved / std::max(1.0, m_requests);
        row["allSlowEventsPerRun"] = m_allSlow / m_runs;
        return row;
    }

private:
    static constexpr double NotFound = 1e9;

    double quantile(double rank)
    {
        if (m_detection.empty()) {
            return NotFound;
        }
        std::sort(m_detection.begin(), m_detection.end());
        const auto count = static_cast<double>(m_detection.size());
        const auto index = static_cast<std::size_t>(std::ceil(rank * count)) - 1;
        return m_detection[std::min(index, m_detection.size() - 1)];
    }

    double missed() const
    {
        const auto count = std::count(m_detection.begin(), m_detection.end(), NotFound);
        return m_detection.empty() ? 0 : static_cast<double>(count) / static_cast<double>(m_detection.size());
    }

    static std::string text(double seconds)
    {
        if (seconds >= NotFound) {
            return ">75";
        }
        char buffer[16];
        std::snprintf(buffer, sizeof buffer, "%.2f", seconds);
        return buffer;
    }

    static boost::json::value value(double seconds)
    {
        return seconds >= NotFound ? boost::json::value(nullptr) : boost::json::value(seconds);
    }

    double m_runs = 0;
    double m_harmed = 0;
    double m_onTrial = 0;
    double m_falseEjections = 0;
    double m_floorViolations = 0;
    double m_unserved = 0;
    double m_requests = 0;
    double m_allSlow = 0;
    std::vector<double> m_detection;
};

class HealthySummary
{
public:
    void add(const HealthSimulationResult &result, double targetHours)
    {
        m_hours += targetHours;
        m_falseEjections += result.falseEjections;
        m_floorViolations += result.floorViolations;
        m_requests += result.requests;
        m_sheds += result.sheds;
        m_unserved += result.unserved;
        m_peaks.insert(m_peaks.end(), result.peaks.begin(), result.peaks.end());
        m_baselines.resize(result.shadowFalseEjections.size());
        for (std::size_t index = 0; index < m_baselines.size(); ++index) {
            m_baselines[index] += result.shadowFalseEjections[index];
        }
    }

    void print() const
    {
        std::printf(
            "\nhealthy traffic: %.0f target-hours, %.0f requests, %.2f%% shed and tried elsewhere, %.4f%% unserved\n",
            m_hours,
            m_requests,
            100 * m_sheds / m_requests,
            100 * m_unserved / m_requests);
        std::printf("taken out by cautious: %.0f; floor violations: %.0f\n", m_falseEjections, m_floorViolations);
        for (std::size_t index = 0; index < m_baselines.size(); ++index) {
            const std::size_t detector = static_cast<std::size_t>(FaultDetectorKind::ConsecutiveErrors) + index;
            std::printf("taken out by %s: %.0f, %.1f per 1,000 target-hours\n",
                        FaultDetectorNames.at(detector).data(),
                        m_baselines[index],
                        per1000(m_baselines[index]));
        }
        std::printf("excursions of healthy targets that reach a threshold:\n");
        for (int threshold = MinThreshold; threshold <= MaxThreshold; ++threshold) {
            const double count = countAtLeast(threshold);
            std::printf("  %2d  %6.0f  %10.3f per 1,000 target-hours\n", threshold, count, per1000(count));
        }
    }

    boost::json::object toJson() const
    {
        boost::json::object result;
        result["targetHours"] = m_hours;
        result["requests"] = m_requests;
        result["takenOutByCautious"] = m_falseEjections;
        result["floorViolations"] = m_floorViolations;
        boost::json::array baselines;
        for (std::size_t index = 0; index < m_baselines.size(); ++index) {
            const std::size_t detector = static_cast<std::size_t>(FaultDetectorKind::ConsecutiveErrors) + index;
            baselines.push_back({ { "judge", FaultDetectorNames.at(detector) }, { "takenOut", m_baselines[index] } });
        }
        result["baselines"] = baselines;
        boost::json::array curve;
        for (int threshold = MinThreshold; threshold <= MaxThreshold; ++threshold) {
            curve.push_back({ { "threshold", threshold }, { "excursions", countAtLeast(threshold) } });
        }
        result["curve"] = curve;
        return result;
    }

private:
    static constexpr int MinThreshold = 8;
    static constexpr int MaxThreshold = 32;

    double countAtLeast(double threshold) const
    {
        return static_cast<double>(std::count_if(m_peaks.begin(), m_peaks.end(), [threshold](double peak) {
            return peak >= threshold;
        }));
    }

    double per1000(double count) const
    {
        return 1'000 * count / m_hours;
    }

    double m_hours = 0;
    double m_falseEjections = 0;
    double m_floorViolations = 0;
    double m_requests = 0;
    double m_sheds = 0;
    double m_unserved = 0;
    std::vector<double> m_peaks;
    std::vector<double> m_baselines;
};

} // namespace healthmodel
