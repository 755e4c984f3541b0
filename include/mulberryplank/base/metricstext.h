#pragma once

#include <initializer_list>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

namespace mulberryplank
{

// One label of a metric's sample.
struct MetricLabel {
    std::string_view name;
    std::string value;
};

// Writes metrics in the text exposition format, one family after the other.
class MetricsText
{
public:
    // Begins the family `name`; `type` is counter, gauge or histogram. Its samples follow.
    void family(std::string_view name, std::string_view type, std::string_view help);

    // Adds a sample of the current family. `suffix` is appended to the family's name, as histograms require, such as
    // "_bucket".
    void sample(double value, const std::vector<MetricLabel> &labels = {}, std::string_view suffix = {});

    // Adds a family that has one sample.
    void single(std::string_view name, std::string_view type, std::string_view help, double value);

    // Returns the text written so far.
    std::string text() const;

private:
    std::string m_name; // of the current family
    std::ostringstream m_out;
};

} // namespace mulberryplank
