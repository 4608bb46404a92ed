#pragma once

#include "citronfall/immutable.h"
#include "config_check/config_finding.h"
#include "deployment/route.h"
#include "deployment/service_policy.h"
#include "deployment/tenant_policy.h"

#include <cstdint>
#include <map>
#include <vector>

namespace citronfall {

/// Parts of an entry that findings refer to.
enum class document_field : std::uint8_t {
    entry,
    name,
    database,
    service,
    statement_timeout,
    max_connections,
    keys,
    rate,
    burst
};

template <class Value>
struct document_entry_fields {
    Value value;
    std::map<document_field, document_place> places; ///< Of the entry and of the fields that it has.

    friend auto operator<=>(const document_entry_fields&, const document_entry_fields&) = default;
};

/// An entry of a configuration and where it stands.
template <class Value>
using document_entry = immutable<document_entry_fields<Value>>;

struct configuration_document_fields {
    std::uint64_t version = 0;
    document_place version_place;
    std::vector<document_entry<route>> routes; ///< In the order of the file, with duplicates.
    std::vector<document_entry<service_policy>> services;
    std::vector<document_entry<tenant_policy>> tenants;
    duration idle_transaction_limit{};
    std::vector<config_finding> problems; ///< What could not be read.

    friend auto operator<=>(const configuration_document_fields&, const configuration_document_fields&) = default;
};

/// A configuration as an operator wrote it, before it is sent.
using configuration_document = immutable<configuration_document_fields>;

} // namespace citronfall
