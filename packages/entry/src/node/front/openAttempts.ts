/** The attempts of this VM that workers have not answered yet, by service. */

/** An attempt that can end because its connection has become silent. */
export interface AbandonableAttempt {
  /** Ends the attempt without a response if its connection has been silent and the request may be repeated. */
  cancelSilent(): void
}

/** All open attempts. */
export class OpenAttempts {
  private readonly attemptsByService = new Map<string, Set<AbandonableAttempt>>()

  /** Adds an attempt that was sent. */
  add (service: string, attempt: AbandonableAttempt): void {
    let attempts = this.attemptsByService.get(service)
    if (attempts === undefined) this.attemptsByService.set(service, attempts = new Set())
    attempts.add(attempt)
  }

  /** Removes an attempt that has ended. */
  remove (service: string, attempt: AbandonableAttempt): void {
    this.attemptsByService.get(service)?.delete(attempt)
  }

  /** Ends the attempts of a service whose connections have been silent, as its workers can't be reached. */
  cancelSilent (service: string): void {
    for (const attempt of [...this.attemptsByService.get(service) ?? []]) attempt.cancelSilent()
  }
}
