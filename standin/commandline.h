#pragma once

#include <functional>
#include <stdexcept>
#include <string>
#include <vector>

namespace standin
{

// An IP address with a port.
struct Address {
    std::string ip = "127.0.0.1";
    unsigned short port = 0;
};

// Thrown for an invalid command line. The message names the flag, the value and the allowed values.
class UsageError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

// The flags of one subcommand, parsed by getopt_long. Thread-compatible.
class CommandLine
{
public:
    // `command` and `purpose` are printed at the beginning of --help.
    CommandLine(std::string command, std::string purpose);

    // Adds a flag with a value. `store` receives the value and throws UsageError or std::invalid_argument when it is
    // invalid.
    void add(std::string name, std::string value, std::string help, std::function<void(const std::string &)> store);

    // Adds a flag whose value is an integer or a floating-point number from `minimum` to `maximum`.
    void addNumber(std::string name, std::string help, std::size_t &number, std::size_t minimum, std::size_t maximum);
    void addNumber(std::string name, std::string help, double &number, double minimum, double maximum);

    // Adds a flag whose value is an arbitrary string.
    void addText(std::string name, std::string value, std::string help, std::string &text);

    // Adds a flag without a value that sets `enabled` to true.
    void addSwitch(std::string name, std::string help, bool &enabled);

    // Parses the arguments that follow the subcommand. Returns false after printing the help for --help.
    // Throws UsageError.
    bool parse(int argc, char **argv) const;

private:
    struct Flag {
        std::string name;
        std::string value; // empty for a flag without a value
        std::string help;
        std::function<void(const std::string &)> store;
    };

    void printHelp() const;

    std::string m_command;
    std::string m_purpose;
    std::vector<Flag> m_flags;
};

// Parses an address of the form IP:PORT. Throws UsageError.
Address parseAddress(const std::string &text);

} // namespace standin
