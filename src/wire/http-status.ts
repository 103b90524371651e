/** Names of HTTP status codes, and the check for a missing response. */

/** HTTP status codes by their names in RFC 9110. */
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

/** Whether no response arrived, or not in time: the request may have been executed, or may yet be. */
export function isNoResponse(response: { status: number }): boolean {
  return response.status === 0;
}
