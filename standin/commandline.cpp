#include "commandline.h"

#include <charconv>
#include <cstdio>
#include <iomanip>
#include <iostream>
#include <sstream>

#include <boost/asio/ip/address.hpp>
#include <getopt.h>

namespace standin
{

namespace
{

constexpr int HelpValue = 1;
constexpr int FirstFlagValue = 2;
constexpr int HelpColumn = 34;

template<typename Number>
Number parseNumber(const std::string &text, Number minimum, Number maximum)
{
    Number number {};
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc {} || parsed.ptr != end || number < minimum || number > maximum) {
        std::ostringstream allowed;
        allowed << "must be a number from " << minimum << " to " << maximum;
        throw UsageError(allowed.str());
    }
    return number;
}

template<typename Number>
std::function<void(const std::string &)> storeNumber(Number &number, Number minimum, Number maximum)
{
    return [&number, minimum, maximum](const std::string &text) {
        number = parseNumber(text, minimum, maximum);
    };
}

} // namespace

CommandLine::CommandLine(std::string command, std::string purpose)
    : m_command(std::move(command))
    , m_purpose(std::move(purpose))
{
}

void CommandLine::add(std::string name,
                      std::string value,
                      std::string help,
                      std::function<void(const std::string &)> store)
{
    m_flags.push_back({ std::move(name), std::move(value), std::move(help), std::move(store) });
}

void CommandLine::addNumber(
    std::string name, std::string help, std::size_t &number, std::size_t minimum, std::size_t maximum)
{
    help += " (" + std::to_string(number) + ")";
    add(std::move(name), "N", std::move(help), storeNumber(number, minimum, maximum));
}

void CommandLine::addNumber(std::string name, std::string help, double &number, double minimum, double maximum)
{
    std::ostringstream defaultText;
    defaultText << " (" << number << ")";
    add(std::move(name), "X", help + defaultText.str(), storeNumber(number, minimum, maximum));
}

void CommandLine::addText(std::string name, std::string value, std::string help, std::string &text)
{
    add(std::move(name), std::move(value), std::move(help), [&text](const std::string &argumentText) {
        text = argumentText;
    });
}

void CommandLine::addSwitch(std::string name, std::string help, bool &enabled)
{
    add(std::move(name), {}, std::move(help), [&enabled](const std::string &) {
        enabled = true;
    });
}

bool CommandLine::parse(int argc, char **argv) const
{
    std::vector<option> options;
    options.push_back({ "help", no_argument, nullptr, HelpValue });
    int value = FirstFlagValue;
    for (const Flag &flag : m_flags) {
        const int argument = flag.value.empty() ? no_argument : required_argument;
        options.push_back({ flag.name.c_str(), argument, nullptr, value++ });
    }
    options.push_back({ nullptr, 0, nullptr, 0 });
    optind = 1;
    for (int optionCode = 0; (optionCode = getopt_long(argc, argv, "", options.data(), nullptr)) != -1;) {
        if (optionCode == HelpValue) {
            printHelp();
            return false;
        }
        if (optionCode == '?') {
            throw UsageError("see " + m_command + " --help");
        }
        const Flag &flag = m_flags[static_cast<std::size_t>(optionCode - FirstFlagValue)];
        const std::string argumentText = optarg ? optarg : "";
        try {
            flag.store(argumentText);
        } catch (const std::exception &error) {
            throw UsageError("--" + flag.name + " " + argumentText + ": " + error.what());
        }
    }
    if (optind < argc) {
        throw UsageError(std::string("unexpected argument: ") + argv[optind]);
    }
    return true;
}

void CommandLine::printHelp() const
{
    std::cout << "Usage: " << m_command << " [FLAGS]\n" << m_purpose << "\n\n";
    for (const Flag &flag : m_flags) {
        const std::string left = "  --" + flag.name + (flag.value.empty() ? "" : " " + flag.value);
        std::cout << std::left << std::setw(HelpColumn) << left << flag.help << "\n";
    }
    std::cout << std::left << std::setw(HelpColumn) << "  --help"
              << "print this help and exit\n";
}

Address parseAddress(const std::string &text)
{
    const auto colon = text.rfind(':');
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(text.substr(0, colon), error);
    if (colon == std::string::npos || error) {
        throw UsageError("must be IP:PORT, such as 127.0.0.1:21001");
    }
    return { ip.to_string(), parseNumber<unsigned short>(text.substr(colon + 1), 0, 65535) };
}

} // namespace standin
