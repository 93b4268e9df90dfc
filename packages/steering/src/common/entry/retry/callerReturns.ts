/** What this VM knows of callers that are refused and come back. */
import { CallerTimes } from '../admission/callerTimes.js'
import { ReturnSchedule } from './returnSchedule.js'

/** The callers' times by route, and their returns by service. */
export class CallerReturns {
  private readonly timesByRoute = new Map<string, CallerTimes>()
  private readonly schedulesByService = new Map<string, ReturnSchedule>()

  /** @returns the times that callers of a route have */
  getTimes (route: string): CallerTimes {
    let times = this.timesByRoute.get(route)
    if (times === undefined) {
      times = new CallerTimes()
      this.timesByRoute.set(route, times)
    }
    return times
  }

  /** @returns when refused callers of a service return */
  getSchedule (service: string): ReturnSchedule {
    let schedule = this.schedulesByService.get(service)
    if (schedule === undefined) {
      schedule = new ReturnSchedule()
      this.schedulesByService.set(service, schedule)
    }
    return schedule
  }

  /** Discards what is known of other routes and services. */
  keep (routes: ReadonlySet<string>, services: ReadonlySet<string>): void {
    for (const route of this.timesByRoute.keys()) if (!routes.has(route)) this.timesByRoute.delete(route)
    for (const service of this.schedulesByService.keys()) if (!services.has(service)) this.schedulesByService.delete(service)
  }
}
