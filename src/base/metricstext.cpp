#include "mulberryplank/base/metricstext.h"

namespace mulberryplank
{

namespace internal
{

namespace
{

// Escapes a label value. Values come from configurations, which may contain any text.
std::string escapedLabel(const std::string &value)
{
    std::string escaped;
    for (const char letter : value) {
        if (letter == '\n') {
            escaped += "\\n";
            continue;
        }
        if (letter == '"' || letter == '\\') {
            escaped += '\\';
        }
        escaped += letter;
    }
    return escaped;
}

// Significant digits of a sample. Counts must be exact up to this number of digits; the stream's default is six.
constexpr int Digits = 15;

} // namespace

} // namespace internal

void MetricsText::family(std::string_view name, std::string_view type, std::string_view help)
{
    m_name = "mulberryplank_" + std::string(name);
    m_out << "# HELP " << m_name << ' ' << help << "\n# TYPE " << m_name << ' ' << type << '\n';
}

void MetricsText::sample(double value, const std::vector<MetricLabel> &labels, std::string_view suffix)
{
    m_out.precision(internal::Digits);
    m_out << m_name << suffix;
    if (!labels.empty()) {
        char before = '{';
        for (const MetricLabel &label : labels) {
            m_out << before << label.name << "=\"" << internal::escapedLabel(label.value) << '"';
            before = ',';
        }
        m_out << '}';
    }
    m_out << ' ' << value << '\n';
}

void MetricsText::single(std::string_view name, std::string_view type, std::string_view help, double value)
{
    family(name, type, help);
    sample(value);
}

std::string MetricsText::text() const
{
    return m_out.str();
}

} // namespace mulberryplank
