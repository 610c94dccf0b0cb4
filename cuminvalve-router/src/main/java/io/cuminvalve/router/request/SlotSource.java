package io.cuminvalve.router.request;

/**
 * Finds the owner of a request's shard and a slot there.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface SlotSource {

  /**
   * Asks for a slot. Does not block; the listener may be called before this method returns.
   *
   * @param request the request; not null
   * @param listener hears the answer; not null
   * @return lets the caller give up or return the slot
   */
  SlotTicket admit(RequestContext request, SlotListener listener);
}
