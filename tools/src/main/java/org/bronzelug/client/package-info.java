/** A client for callers: finds the VM to use, resumes streams, retries safely. */
package org.bronzelug.client;
