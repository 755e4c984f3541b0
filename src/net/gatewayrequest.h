// One request of a caller's connection. Internal to GatewaySession.
#pragma once

#include "mulberryplank/net/gatewaysession.h"

namespace mulberryplank
{

namespace internal
{

inline constexpr std::size_t SessionBodyPieceSize = 16 * 1024; // read at once, of a request or a response

} // namespace internal

struct GatewaySession::Request {
    Request(std::uint32_t headerBytes, std::uint64_t bodyBytes)
    {
        parser.header_limit(headerBytes);
        parser.body_limit(bodyBytes);
    }

    RequestParser parser;
    PipelineOrder::Id place = 0;
    Result<void> header; // the error of a header that was read while other requests were in progress
    bool hasWaited = false; // for earlier requests of its connection, before it was read or started
    RouteTablePtr table;
    CallerFields fields;
    std::string body;
    BufferLease bodyLease; // of `body`
    bool bodyComplete = false;
    bool keepAlive = false;
    Instant arrived {};
    Instant deadline {};
    const HostRoute *route = nullptr; // in `table`
    const ClientAccount *account = nullptr; // the caller's, in `table`; nullptr if it has none
    ServiceName service;
    RequestFingerprint fingerprint {};
};

} // namespace mulberryplank
