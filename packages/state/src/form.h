// Defines Form, the fields of a submitted HTML form.

#ifndef SEQUOIAPATH_STATE_SRC_FORM_H_
#define SEQUOIAPATH_STATE_SRC_FORM_H_

#include <map>
#include <string>
#include <string_view>

namespace sequoiapath {

using Form = std::map<std::string, std::string, std::less<>>;

// Parses application/x-www-form-urlencoded text or a query string. If a name
// occurs more than once, the first value is used. Thread-safe.
Form ParseForm(std::string_view text);

// Returns the value of the field `name`, or an empty view if it is absent. The
// view is valid until `form` is modified or destroyed.
std::string_view FieldOf(const Form& form, std::string_view name);

// Returns `text` percent-encoded for use in a query string.
std::string PercentEncode(std::string_view text);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_SRC_FORM_H_
