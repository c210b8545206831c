// Decodes a deployment's settings object from JSON. The simulator adapter and the gateway both use it.
#ifndef POSTSPREAD_CONFIG_SETTINGS_H_
#define POSTSPREAD_CONFIG_SETTINGS_H_

#include "config/json_reader.h"
#include "postspread/control.h"

namespace postspread {

// Ignores unknown members. Throws json_reader::JsonError, which names the invalid member.
Settings DecodeSettings(const nlohmann::json& from);

}  // namespace postspread

#endif  // POSTSPREAD_CONFIG_SETTINGS_H_
