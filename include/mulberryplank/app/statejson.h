#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include "mulberryplank/policy/configtable.h"
#include "mulberryplank/policy/member.h"
#include "mulberryplank/state/servicestate.h"

namespace mulberryplank
{

// Each returns its argument as the JSON that the admin interface and the dump contain. Digests of secrets are omitted.
boost::json::object toJson(const Endpoint &endpoint);
boost::json::object toJson(const Member &member);
boost::json::object toJson(const Account &account);
boost::json::object toJson(const Service &service);
boost::json::object toJson(const Target &target);
boost::json::object toJson(const ServiceSummary &summary);
boost::json::object toJson(const TargetState &target);
boost::json::object toJson(const AccountState &account);

// Returns `text` as a JSON string.
boost::json::string toJsonString(std::string_view text);

} // namespace mulberryplank
