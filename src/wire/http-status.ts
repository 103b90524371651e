/** Status codes of HTTP that decide something here, and the test for a reply that never came. */

/** Status codes of HTTP, by the names of RFC 9110. */
export const HTTP_STATUS = {
  ok: 200,
  created: 201,
  noContent: 204,
  badRequest: 400,
  notFound: 404,
  conflict: 409,
  gone: 410,
  unprocessableContent: 422,
  serviceUnavailable: 503,
} as const;

/** No reply came in time or at all: the request may have been executed, or may still be. */
export function isNoResponse(reply: { status: number }): boolean {
  return reply.status === 0;
}
