package io.cuminvalve.admin;

/**
 * Answers an operator's request.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface AdminHandler {

  /**
   * Answers a request, on a thread of the admin server; it may block for a bounded time.
   *
   * @param request the request; not null
   * @return never null
   * @throws io.cuminvalve.kernel.CodedException turned into an error answer in JSON
   */
  AdminResponse handle(AdminRequest request);
}
