package io.cuminvalve.admin;

/**
 * An operator's request that a process answers, besides those that every process does.
 *
 * @param method the HTTP method, upper case; not null
 * @param path the exact path, or a prefix if it ends in {@code /}; not null
 * @param handler answers it; not null
 * @since 0.1
 */
public record AdminRoute(String method, String path, AdminHandler handler) {

  boolean matches(AdminRequest request) {
    boolean samePath =
        path.endsWith("/") ? request.path().startsWith(path) : request.path().equals(path);
    return samePath && method.equals(request.method());
  }
}
