#pragma once

#include <functional>
#include <stdexcept>
#include <string>
#include <vector>

namespace standin
{

// An address as IP:PORT.
struct Address {
    std::string ip = "127.0.0.1";
    unsigned short port = 0;
};

// A command line that can't be taken. The text names the flag, the value and what is allowed.
class UsageError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

// The flags of one subcommand, read by getopt_long.
class CommandLine
{
public:
    // `command` and `purpose` are what --help begins with.
    CommandLine(std::string command, std::string purpose);

    // Adds a flag with a value. `store` stores it and throws UsageError or std::invalid_argument for a bad one.
    void add(std::string name, std::string value, std::string help, std::function<void(const std::string &)> store);

    // Adds a flag whose value is a whole number or a number from `minimum` to `maximum`.
    void addNumber(std::string name, std::string help, std::size_t &number, std::size_t minimum, std::size_t maximum);
    void addNumber(std::string name, std::string help, double &number, double minimum, double maximum);

    // Adds a flag whose value is any text.
    void addText(std::string name, std::string value, std::string help, std::string &text);

    // Adds a flag without a value that sets `enabled`.
    void addSwitch(std::string name, std::string help, bool &enabled);

    // Reads the arguments that follow the subcommand. Returns false when --help was asked for and printed.
    // Throws UsageError.
    bool parse(int argc, char **argv) const;

private:
    struct Flag {
        std::string name;
        std::string value; // empty: the flag takes none
        std::string help;
        std::function<void(const std::string &)> store;
    };

    void printHelp() const;

    std::string m_command;
    std::string m_purpose;
    std::vector<Flag> m_flags;
};

// Returns the address that `text` (IP:PORT) means. Throws UsageError.
Address parseAddress(const std::string &text);

} // namespace standin
