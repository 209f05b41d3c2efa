/** A client for callers: locates the VM to use, resumes streams on failover, retries safely. */
package org.bronzelug.client;
