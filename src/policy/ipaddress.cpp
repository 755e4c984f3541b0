#include "mulberryplank/policy/ipaddress.h"

#include <arpa/inet.h>

#include <cstring>

namespace mulberryplank
{

bool isIpAddress(const std::string &text)
{
    in6_addr address {};
    const bool isWhole = std::strlen(text.c_str()) == text.size();
    return isWhole
           && (inet_pton(AF_INET, text.c_str(), &address) == 1 || inet_pton(AF_INET6, text.c_str(), &address) == 1);
}

} // namespace mulberryplank
