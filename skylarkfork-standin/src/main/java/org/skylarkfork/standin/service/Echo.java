package org.skylarkfork.standin.service;

/**
 * The answer of the stand-in service.
 *
 * @param service the name of the service
 * @param upstream the id of the upstream that answered
 * @param method the HTTP method of the call
 * @param path the path with the query
 * @param requestId the id of the request
 * @param body the body of the call
 * @param runs how often this request ran here, this time included
 * @param serial rises with each run, as the number of an issued certificate does
 */
public record Echo(
    String service,
    String upstream,
    String method,
    String path,
    String requestId,
    String body,
    int runs,
    long serial) {}
