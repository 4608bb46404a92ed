#include "citronfall/operator_config.h"

namespace citronfall {
namespace {

template <class Map>
auto find_in(const Map& map, const std::string& name) -> const typename Map::mapped_type*
{
    const auto found = map.find(name);
    return found == map.end() ? nullptr : &found->second;
}

} // namespace

const group_config* operator_config::group(const std::string& name) const
{
    return find_in((*this)->groups, name);
}

const tenant_config* operator_config::tenant(const std::string& name) const
{
    return find_in((*this)->tenants, name);
}

const class_config* operator_config::find_class(const std::string& tenant, const std::string& name) const
{
    const auto* classes = find_in((*this)->classes, tenant);
    return classes == nullptr ? nullptr : find_in(*classes, name);
}

} // namespace citronfall
