#include "mulberryplank/policy/routetable.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

namespace
{

HostRoute routeTo(const std::string &prefix, const std::string &service)
{
    HostRoute route;
    route.name = "route" + prefix;
    route.pathPrefix = prefix;
    route.services = { { ServiceName(service), 1 } };
    return route;
}

RouteTable table()
{
    RouteTable result;
    result.hosts["press.example"] = { routeTo("/a/", "short"), routeTo("/a/b/", "long"), routeTo("/c/", "other") };
    return result;
}

std::string serviceOf(const HostRoute *route)
{
    return route == nullptr ? "" : route->services.front().service.value();
}

} // namespace

TEST_GROUP(RouteTable) {};

TEST(RouteTable, longestPrefixWins)
{
    const RouteTable routes = table();
    STRCMP_EQUAL("long", serviceOf(routes.find("press.example", "/a/b/c")).c_str());
    STRCMP_EQUAL("short", serviceOf(routes.find("press.example", "/a/x")).c_str());
}

TEST(RouteTable, prefixEndsAtASlash)
{
    const RouteTable routes = table();
    STRCMP_EQUAL("short", serviceOf(routes.find("press.example", "/a/bc")).c_str());
    POINTERS_EQUAL(nullptr, routes.find("press.example", "/a"));
}

TEST(RouteTable, queryIsNotPartOfThePath)
{
    const RouteTable routes = table();
    STRCMP_EQUAL("other", serviceOf(routes.find("press.example", "/c/?x=/a/b/")).c_str());
    POINTERS_EQUAL(nullptr, routes.find("press.example", "/d?/a/"));
}

TEST(RouteTable, hostIsComparedWithoutCaseAndPort)
{
    const RouteTable routes = table();
    STRCMP_EQUAL("other", serviceOf(routes.find("Press.Example:8080", "/c/1")).c_str());
    POINTERS_EQUAL(nullptr, routes.find("other.example", "/c/1"));
}
