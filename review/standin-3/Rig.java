import java.io.*; import java.net.*; import java.nio.charset.StandardCharsets; import java.nio.file.*; import java.util.*; import java.util.concurrent.*; import java.util.concurrent.atomic.*; import java.util.function.*;

public class Rig {
  static final String[] HOSTS = {"127.0.0.1","127.0.0.2","127.0.0.3"};
  static Path root = Path.of("").toAbsolutePath(), tmp;
  static int linkPort, opPort, clientPort, readyPort, listPort;
  static List<Process> procs = new CopyOnWriteArrayList<>();
  static PrintWriter rec;
  static long t0 = System.nanoTime();
  static List<String> MODELS=List.of("m0","m1","m2","m3");
  static void thread(Runnable r){ Thread t=new Thread(r); t.setDaemon(true); t.start(); }
  static void finish(int code,String text){ log("exit "+code+": "+text); System.out.println(text); for(Process p:procs) p.destroyForcibly(); for(Process p:procs) try{ p.waitFor(); }catch(InterruptedException e){} try(var w=Files.walk(tmp)){ w.sorted(Comparator.reverseOrder()).forEach(f->f.toFile().delete()); }catch(IOException e){} System.exit(code); }
  static synchronized void log(String s){ rec.printf("%.3f %s%n",(System.nanoTime()-t0)/1e9,s); rec.flush(); }
  static int freePort() throws IOException { Random r=new Random(); while(true){ int p=20000+r.nextInt(12000); try{ for(String h:List.of("127.0.0.1","127.0.0.2","127.0.0.3","127.0.0.11","127.0.0.12")){ new ServerSocket(p,1,InetAddress.getByName(h)).close(); } return p; }catch(IOException e){} } }

  static class Proc { String name,role,host; Path dir,ini; Process p; boolean first=true; int mem; String seedHosts="127.0.0.1 127.0.0.2 127.0.0.3";
    void writeIni() throws IOException {
      StringBuilder seeds=new StringBuilder(); for(String h:HOSTS){ if(seeds.length()>0)seeds.append(','); seeds.append(h).append(':').append(opPort);} 
      Files.writeString(ini,"[process]\nmachine = "+name+"\nrole = "+role+"\nfailure-domain = a\nregion = r\naddress = "+host+"\nlink-port = "+linkPort+"\n"+(role.equals("core")?"data-folder = "+dir+"\n":"data-folder = \n")
       +"\n[listen]\nclients = "+(role.equals("entry")?host+":"+clientPort:"")+"\nreadiness = "+(role.equals("entry")?host+":"+readyPort:"")+"\noperators = "+(role.equals("core")?host+":"+opPort:"")
       +"\n\n[group]\nseeds = "+seeds+"\nfirst-start = "+first+"\ntolerated-losses = 1\n\n[platform]\nlist = 127.0.0.1:"+listPort+"\n\n[times]\ngrace-seconds = 8\norder-lease-milliseconds = 3000\ndrain-milliseconds = 3000\nrevoke-milliseconds = \n\n[keys]\nstrict-revocation = \n\n[duties]\nnames = \ncalls-per-second = \nreport-window-seconds = \nreport-lateness-seconds = \nfence-required = true\n");
    }
    void start() throws IOException { writeIni();
      List<String> c=new ArrayList<>(); c.add("java");
      if(role.equals("entry")) c.addAll(List.of("-Xmx80m","-XX:+ExitOnOutOfMemoryError","-Xss256k","-XX:+UseSerialGC","-XX:TieredStopAtLevel=1","-XX:CompileThresholdScaling=3","-XX:MaxDirectMemorySize=48m","-XX:ReservedCodeCacheSize=32m"));
      else c.addAll(List.of("-XX:MaxRAM="+mem+"m","-XX:MaxRAMPercentage=55","-XX:+ExitOnOutOfMemoryError","-Xss256k","-XX:+UseSerialGC","-XX:TieredStopAtLevel=1","-XX:MaxDirectMemorySize=64m","-XX:ReservedCodeCacheSize=32m"));
      c.addAll(List.of("-XX:+ErrorFileToStdout","-XX:SharedArchiveFile=target/zinniahoist.jsa","-Dcom.linecorp.armeria.transportType=nio","-Dcom.linecorp.armeria.tlsEngineType=jdk","-Dio.netty.machineId=02:00:00:00:00:01","-Dio.netty.jfr.enabled=false","-Djavax.net.ssl.trustStore=NONE","-jar","target/zinniahoist.jar"));
      ProcessBuilder b=new ProcessBuilder(c).directory(root.toFile()); b.environment().put("ZINNIAHOIST_SETTINGS",ini.toString()); b.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(tmp.resolve(name+".log").toFile()));
      p=b.start(); procs.add(p); first=false; log("start "+name+" pid="+p.pid()); }
    String lastLine() throws IOException { try(RandomAccessFile f=new RandomAccessFile(tmp.resolve(name+".log").toFile(),"r")){ f.seek(Math.max(0,f.length()-400)); byte[] b=new byte[400]; int n=f.read(b); String[] l=new String(b,0,Math.max(n,0)).trim().split("\n"); return l[l.length-1]; } }
    void signal(String s) throws Exception { new ProcessBuilder("kill","-"+s,""+p.pid()).start().waitFor(); log("signal "+name+" "+s); }
    void kill() throws Exception { p.destroyForcibly().waitFor(); log("killed "+name); }
    void wipe() throws IOException { if(Files.exists(dir)) try(var s=Files.walk(dir)){ s.sorted(Comparator.reverseOrder()).forEach(f->f.toFile().delete()); } Files.createDirectories(dir); }
  }
  static Map<String,Proc> ps=new LinkedHashMap<>();
  static Proc core(int i,int mem) throws IOException { Proc p=new Proc(); p.name="store-"+(char)('a'+i); p.role="core"; p.host=HOSTS[i]; p.dir=tmp.resolve(p.name); p.ini=tmp.resolve(p.name+".ini"); p.mem=mem; Files.createDirectories(p.dir); ps.put(p.name,p); return p; }
  static Proc entry(int i) throws IOException { Proc p=new Proc(); p.name="front-"+(char)('a'+i); p.role="entry"; p.host="127.0.0."+(11+i); p.ini=tmp.resolve(p.name+".ini"); ps.put(p.name,p); return p; }

  // ---- HTTP bits
  static String readLine(InputStream in) throws IOException { ByteArrayOutputStream b=new ByteArrayOutputStream(); int c; while((c=in.read())>=0){ if(c=='\n') break; if(c!='\r') b.write(c);} if(c<0&&b.size()==0) return null; return b.toString(StandardCharsets.ISO_8859_1); }
  static class Msg { String start; Map<String,String> h=new TreeMap<>(String.CASE_INSENSITIVE_ORDER); byte[] body=new byte[0]; int status(){ return Integer.parseInt(start.split(" ")[1]); } String text(){ return new String(body,StandardCharsets.UTF_8);} }
  static Msg readHead(InputStream in) throws IOException { String l; do { l=readLine(in); if(l==null) return null; } while(l.isEmpty()); Msg m=new Msg(); m.start=l; while((l=readLine(in))!=null&&!l.isEmpty()){ int i=l.indexOf(':'); m.h.put(l.substring(0,i).trim(),l.substring(i+1).trim()); } if(l==null) return null; return m; }
  static byte[] readBody(InputStream in,Msg m,boolean response) throws IOException {
    if("chunked".equalsIgnoreCase(m.h.getOrDefault("transfer-encoding",""))){ ByteArrayOutputStream b=new ByteArrayOutputStream(); while(true){ String l=readLine(in); if(l==null) throw new EOFException("chunk"); int n=Integer.parseInt(l.split(";")[0].trim(),16); if(n==0){ while((l=readLine(in))!=null&&!l.isEmpty()); return b.toByteArray(); } byte[] x=in.readNBytes(n); if(x.length<n) throw new EOFException("chunk body"); b.write(x); readLine(in);} }
    String cl=m.h.get("content-length"); if(cl!=null){ int n=Integer.parseInt(cl); byte[] x=in.readNBytes(n); if(x.length<n) throw new EOFException("body"); return x; }
    if(response&&m.status()!=204&&m.status()!=304) return in.readAllBytes(); return new byte[0]; }
  static Msg call(String host,int port,String method,String path,Map<String,String> h,byte[] body,int timeout) throws IOException {
    try(Socket s=new Socket()){ s.connect(new InetSocketAddress(host,port),1000); s.setSoTimeout(timeout); s.setTcpNoDelay(true);
      StringBuilder b=new StringBuilder(method+" "+path+" HTTP/1.1\r\n"); if(!h.containsKey("Host")) b.append("Host: "+host+"\r\n"); h.forEach((k,v)->b.append(k+": "+v+"\r\n")); if(body!=null) b.append("Content-Length: "+body.length+"\r\n"); b.append("\r\n");
      OutputStream o=s.getOutputStream(); o.write(b.toString().getBytes(StandardCharsets.ISO_8859_1)); if(body!=null) o.write(body); o.flush();
      InputStream in=new BufferedInputStream(s.getInputStream(),65536); Msg m=readHead(in); if(m==null) throw new EOFException("no answer"); m.body=readBody(in,m,true); return m; } }
  static Msg operator(String method,String path,byte[] body,long ms) throws Exception { long end=System.nanoTime()+ms*1000000; int i=0; Msg last=null; while(System.nanoTime()<end){ try{ String host=HOSTS[i++%3]; Msg m=call(host,opPort,method,path,Map.of("Content-Type","application/json"),body,1000); for(int r=0;r<2&&m.status()==307;r++){ URI u=URI.create(m.h.get("location")); m=call(u.getHost(),u.getPort(),method,path,Map.of("Content-Type","application/json"),body,1000);} last=m; if(m.status()<300||(m.status()>=400&&m.status()<500&&m.status()!=408&&m.status()!=429)) return m; }catch(IOException e){} Thread.sleep(100);} return last; }

  interface Handler { void handle(Sampler s,Msg m,InputStream in,OutputStream out,Socket k) throws Exception; }
  static class Sampler { String id,service; int port; ServerSocket ss; volatile Handler handler; AtomicInteger running=new AtomicInteger(); Map<String,Long> versions=new ConcurrentHashMap<>(); Set<String> loading=ConcurrentHashMap.newKeySet(); volatile long seq=0; volatile boolean busy; String state="ready"; int slots=16; Set<Socket> socks=ConcurrentHashMap.newKeySet();
    Sampler(String id,String service,Handler h) throws IOException { this.id=id; this.service=service; handler=h; ss=new ServerSocket(0,256,InetAddress.getByName("127.0.0.1")); port=ss.getLocalPort(); Thread t=new Thread(()->{ while(true) try{ Socket k=ss.accept(); socks.add(k); Thread u=new Thread(()->serve(k)); u.setDaemon(true); u.start(); }catch(IOException e){ return; } }); t.setDaemon(true); t.start(); }
    void serve(Socket k){ try(k){ k.setTcpNoDelay(true); InputStream in=new BufferedInputStream(k.getInputStream(),65536); OutputStream out=k.getOutputStream(); while(true){ Msg m=readHead(in); if(m==null) return; handler.handle(this,m,in,out,k); } }catch(Exception e){ }finally{ socks.remove(k);} }
    String json(){ return "{\"service\":\""+service+"\",\"address\":\"127.0.0.1:"+port+"\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":"+slots+",\"state\":\""+state+"\",\"coldRemainingMs\":0,\"stage\":\"both\",\"models\":"+models()+",\"id\":\""+id+"\"}"; }
    String models(){ StringBuilder b=new StringBuilder("["); for(String m:MODELS){ if(b.length()>1) b.append(','); b.append("{\"name\":\""+m+"\",\"version\":"+versions.getOrDefault(m,1L)+",\"adapters\":[]}"); } return b.append("]").toString(); }
  }
  static List<Sampler> samplers=new CopyOnWriteArrayList<>();
  static void answer(OutputStream o,int st,Map<String,String> h,byte[] b) throws IOException { StringBuilder s=new StringBuilder("HTTP/1.1 "+st+" X\r\n"); h.forEach((k,v)->s.append(k+": "+v+"\r\n")); s.append("Content-Length: "+b.length+"\r\n\r\n"); byte[] hd=s.toString().getBytes(StandardCharsets.ISO_8859_1); byte[] all=Arrays.copyOf(hd,hd.length+b.length); System.arraycopy(b,0,all,hd.length,b.length); o.write(all); o.flush(); }
  static boolean common(Sampler s,Msg m,InputStream in,OutputStream out) throws IOException {
    String[] p=m.start.split(" "); if(p[1].startsWith("/api/report")){ answer(out,200,Map.of("Content-Type","application/json"),("{\"stage\":\"both\",\"models\":"+s.models()+",\"busy\":"+!s.loading.isEmpty()+",\"sequence\":"+s.seq+",\"queueDepth\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":90000,\"capabilities\":0}").getBytes()); return true; }
    if(p[1].startsWith("/api/order")){ order(s,new String(readBody(in,m,false)),out); return true; }
    if(p[1].equals("/health")){ answer(out,200,Map.of("Zinniahoist-Instance-Id",s.id),new byte[0]); return true; }
    String e=m.h.get("zinniahoist-expect-instance"); if(e!=null&&!e.equals(s.id)){ readBody(in,m,false); answer(out,421,Map.of("Zinniahoist-Not-Run","1","Zinniahoist-Request-Id",m.h.getOrDefault("zinniahoist-request-id","")),new byte[0]); return true; }
    return false; }
  static String field(String json,String name){ String t=json.substring(json.indexOf("\""+name+"\":")+name.length()+3).trim(); return t.startsWith("\"")?t.substring(1,t.indexOf('"',1)):t.split("[,}]")[0].trim(); }
  /** Carries out an order of weights in 0.9 s. */
  static void order(Sampler s,String body,OutputStream out) throws IOException {
    String model=field(body,"model"); long version=Long.parseLong(field(body,"version")); int status;
    synchronized(s){
      if(!s.loading.isEmpty()||body.contains("\"expect\":")&&Long.parseLong(field(body,"expect"))!=s.seq) status=409;
      else if(s.versions.getOrDefault(model,1L)==version) status=200;
      else { status=202; s.seq++; s.loading.add(model); Thread t=new Thread(()->{ try{ Thread.sleep(900); }catch(InterruptedException e){} s.versions.put(model,version); s.loading.remove(model); }); t.setDaemon(true); t.start(); }
    }
    answer(out,status,Map.of(),new byte[0]);
  }
  static void startList() throws IOException { ServerSocket ss=new ServerSocket(0,64,InetAddress.getByName("127.0.0.1")); listPort=ss.getLocalPort(); Thread t=new Thread(()->{ while(true) try{ Socket k=ss.accept(); Thread u=new Thread(()->{ try(k){ InputStream in=new BufferedInputStream(k.getInputStream()); while(true){ Msg m=readHead(in); if(m==null) return; StringBuilder b=new StringBuilder("{\"instances\":["); boolean f=true; for(Sampler s:samplers){ if(!f)b.append(','); f=false; b.append(s.json()); } b.append("],\"nextToken\":null}"); answer(k.getOutputStream(),200,Map.of("Content-Type","application/json"),b.toString().getBytes()); } }catch(Exception e){} }); u.setDaemon(true); u.start(); }catch(IOException e){ return; } }); t.setDaemon(true); t.start(); }
  static String config(int v){ return "{\"version\":"+v+",\"routes\":["
    +"{\"name\":\"r-safe\",\"host\":\"h.example\",\"pathPrefix\":\"/s/\",\"routeType\":\"safe\",\"timeoutMs\":2000,\"targetLatencyMs\":186,\"priority\":2,\"service\":\"app\",\"maxAttempts\":3},"
    +"{\"name\":\"r-unsafe\",\"host\":\"h.example\",\"pathPrefix\":\"/u/\",\"routeType\":\"unsafe\",\"timeoutMs\":2000,\"targetLatencyMs\":186,\"priority\":2,\"service\":\"app\",\"maxAttempts\":3},"
    +"{\"name\":\"r-stream\",\"host\":\"h.example\",\"pathPrefix\":\"/t/\",\"routeType\":\"stream\",\"timeoutMs\":8000,\"targetLatencyMs\":400,\"priority\":2,\"service\":\"lm\",\"maxAttempts\":3,\"resumable\":true,\"sessionAffinity\":true},"
    +"{\"name\":\"r-roll\",\"host\":\"h.example\",\"pathPrefix\":\"/r/\",\"routeType\":\"rollout\",\"timeoutMs\":10000,\"targetLatencyMs\":400,\"priority\":1,\"service\":\"lm\",\"maxAttempts\":3,\"maxQueueS\":40.0,\"runTargetMs\":7500,\"singleVersion\":false,\"sessionAffinity\":true,\"resumable\":true}],"
    +"\"services\":[{\"name\":\"lm\",\"healthPath\":\"/health\",\"maxConnections\":180,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":16,\"kvCapacityTokens\":42521,\"models\":["+String.join(",",MODELS.stream().map(m->"{\"name\":\""+m+"\"}").toList())+"]}},{\"name\":\"app\",\"healthPath\":\"/health\",\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":33554432,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}"; }
  static void init(String recFile) throws Exception { rec=new PrintWriter(new FileWriter(recFile)); tmp=Files.createTempDirectory("review-3"); linkPort=freePort(); opPort=freePort(); clientPort=freePort(); readyPort=freePort(); startList(); Runtime.getRuntime().addShutdownHook(new Thread(()->{ for(Process p:procs) p.destroyForcibly(); })); }
  static boolean awaitReady(String host,long ms) throws Exception { long end=System.nanoTime()+ms*1000000; while(System.nanoTime()<end){ try{ if(call(host,readyPort,"GET","/api/ready",Map.of(),null,1000).status()==200) return true; }catch(IOException e){} Thread.sleep(100);} return false; }
  static boolean boot(int mem,int entries) throws Exception { boolean ok=true; for(int i=0;i<3;i++) core(i,mem).start(); for(int i=0;i<entries;i++) entry(i).start(); Msg m=operator("POST","/api/config/replace",config(1).getBytes(),15000); log("config "+(m==null?null:m.start)); for(int i=0;i<entries;i++) { boolean r=awaitReady("127.0.0."+(11+i),15000); ok&=r; log("ready "+r); } return ok&&m!=null&&m.status()==200; }
  static String leader() { for(int i=0;i<3;i++){ try{ Msg m=call(HOSTS[i],opPort,"GET","/metrics",Map.of(),null,1000); if(m.text().contains("zinniahoist_leads 1")) return "store-"+(char)('a'+i); }catch(IOException e){} } return null; }
}
