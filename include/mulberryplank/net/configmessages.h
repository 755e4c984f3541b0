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

// A datagram: how far its sender is, and some records, if they fit.
struct ConfigPush {
    Offset applied = 0;
    ConfigUpdate update;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(applied, update);
    }
};

// A call: how far the caller is. The answer brings what it lacks.
struct ConfigPull {
    Offset applied = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(applied);
    }
};

// The answer: records that follow on the caller's, or a snapshot where they aren't kept any more, or neither.
struct ConfigPullResponse {
    Offset applied = 0;
    bool ready = false; // whether the one who answers has a configuration, if only an empty one
    ConfigUpdate update;
    std::string snapshot;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(applied, ready, update, snapshot);
    }
};

} // namespace mulberryplank
