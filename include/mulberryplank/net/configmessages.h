#pragma once

#include <string>

#include <cereal/types/array.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "mulberryplank/policy/recordtail.h"

namespace mulberryplank
{

template<typename Archive>
void serialize(Archive &archive, ConfigUpdate &update)
{
    archive(update.from, update.before, update.records);
}

// A datagram with the sender's position in the log and some records, if they fit.
struct ConfigPush {
    Offset applied = 0;
    ConfigUpdate update;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(applied, update);
    }
};

// A call with the caller's position in the log. The response contains what the caller lacks.
struct ConfigPull {
    Offset applied = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(applied);
    }
};

// The response to a ConfigPull: the records that follow the caller's position, or a snapshot if those records are no
// longer kept, or neither.
struct ConfigPullResponse {
    Offset applied = 0;
    bool ready = false; // whether the responding proxy has a configuration, which may be empty
    ConfigUpdate update;
    std::string snapshot;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(applied, ready, update, snapshot);
    }
};

} // namespace mulberryplank
