#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include "mulberryplank/policy/configtable.h"
#include "mulberryplank/policy/member.h"
#include "mulberryplank/state/servicestate.h"

namespace mulberryplank
{

// Each returns the JSON that the admin interface and the dump show of a thing. Digests of secrets are left out.
boost::json::object toJson(const Endpoint &endpoint);
boost::json::object toJson(const Member &member);
boost::json::object toJson(const Account &account);
boost::json::object toJson(const Service &service);
boost::json::object toJson(const Target &target);
boost::json::object toJson(const ServiceSummary &summary);
boost::json::object toJson(const TargetState &target);
boost::json::object toJson(const AccountState &account);

// What of all services an operator has to look at.
struct StatusLists {
    boost::json::array ejected;
    boost::json::array floors;
    boost::json::array limits;
};

// Adds to `lists` what an operator has to look at in a service.
void addTo(StatusLists &lists, const ServiceSummary &summary);

// Returns how many members there are in each status.
boost::json::object countByStatus(const std::vector<Member> &members);

// Returns `text` as a JSON string.
boost::json::string toJsonString(std::string_view text);

} // namespace mulberryplank
