/** The gRPC server for callers and operators, and the service for callers (docs/SCHEMA.md). */
package org.bronzelug.daemon.caller;
